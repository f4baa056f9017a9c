/*
 * Tests the claim controller of one VM without threads. The test answers the
 * store calls, sends the claims as a worker does, and sets the clock.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>
#include <stdlib.h>
#include <string.h>

#include "control/controller.h"
#include "front/worker_msg.h"

#define START_MS 100000
#define TICK_MS 50
#define GRANT_VALIDITY_MS 5000

/* Replaces the control thread and the store threads. */

static struct control_stub {
	bool fresh, store_slow;
	bool reading, writing;
	uint64_t version, tag;
	json_t *written;
} stub;

void
ctl_send(struct control *c, const struct vm_id *to, enum peer_msg_type type,
    struct bstr body)
{
	(void)c;
	(void)to;
	(void)type;
	(void)body;
}

bool
ctl_is_fresh(const struct control *c)
{
	(void)c;
	return (stub.fresh);
}

void
store_thread_get(struct store_thread *s, const char *key, uint64_t tag)
{
	(void)s;
	assert_string_equal(key, PARTITION_KEY);
	assert_false(stub.reading);
	stub.reading = true;
	stub.tag = tag;
}

void
store_thread_put(struct store_thread *s, const char *key, json_t *value,
    uint64_t if_version, uint64_t tag)
{
	(void)s;
	assert_string_equal(key, PARTITION_KEY);
	assert_int_equal(if_version, stub.version);
	stub.writing = true;
	stub.tag = tag;
	json_decref(stub.written);
	stub.written = json_deep_copy(value);
}

static void
answer_store_call(struct control *c)
{
	struct store_thread_result r = {.tag = stub.tag, .value = stub.written};

	assert_int_equal(CONTROLLER_TAG_ID(stub.tag), CONTROLLER_CLAIM);
	if (stub.writing) {
		r.op = STORE_THREAD_PUT;
		stub.version++;
	} else if (stub.version == 0) {
		r.err = ERR_NOT_FOUND;
	}
	r.version = stub.version;
	stub.reading = stub.writing = false;
	controller_claim.ops->on_store(c, &r);
}

/*
 * Runs ticks for @ms. Unless the store is slow, each store call is answered one
 * tick after it was made.
 */
static void
run_ms(struct control *c, int64_t ms)
{
	for (int64_t end = c->now_ms + ms; c->now_ms < end;) {
		c->now_ms += TICK_MS;
		if (!stub.store_slow && (stub.reading || stub.writing))
			answer_store_call(c);
		controller_claim.ops->tick(c);
	}
}

struct fixture {
	struct control *c;
	struct settings set;
	struct metrics metrics;
	struct message_queue replies;
};

static int
setup(void **state)
{
	struct fixture *f = calloc(1, sizeof(*f));
	struct partition_member self = {.alive = true};
	struct partition_out out = {0};

	memset(&stub, 0, sizeof(stub));
	stub.fresh = true;
	f->c = calloc(1, sizeof(*f->c));
	f->set.claim_retention_s = 60;
	f->c->desc = (struct ctl_desc){.set = &f->set, .metrics = &f->metrics};
	f->c->self = vmid_from(BSTR("vm1@1"));
	f->c->now_ms = START_MS;
	msgq_init(&f->replies);
	controller_claim.ops->setup(f->c);
	self.id = f->c->self;
	partition_on_members(&f->c->partitions, &self, 1, START_MS, &out);
	ctl_apply_partitions(f->c, &out);
	partition_out_finish(&out);
	run_ms(f->c, 2000);
	*state = f;
	return (0);
}

static int
teardown(void **state)
{
	struct fixture *f = *state;

	controller_claim.ops->finish(f->c);
	json_decref(stub.written);
	msgq_finish(&f->replies);
	free(f->c);
	free(f);
	return (0);
}

/* Sends a claim and returns its reply; there must be exactly one. */
static struct worker_msg_claim_reply *
claim(struct fixture *f, uint64_t fingerprint, int64_t deadline_ms)
{
	struct worker_msg_claim *m = calloc(1, sizeof(*m));
	struct msgq_msg *reply;

	m->m.type = WORKER_MSG_CLAIM;
	m->reply_to = &f->replies;
	m->ref = 77;
	memcpy(m->service, "pay", sizeof("pay"));
	m->key = (struct worker_msg_key){.n = 2, .s = {'k', '1'}};
	m->fingerprint = fingerprint;
	/* The controller rounds the deadline down to milliseconds. */
	m->deadline_us = (f->c->now_ms + deadline_ms) * 1000 + 999;
	ctl_on_claim(f->c, &m->m);
	reply = msgq_pop(&f->replies);
	assert_non_null(reply);
	assert_null(msgq_pop(&f->replies));
	assert_int_equal(reply->type, WORKER_MSG_CLAIM_REPLY);
	return (caa_container_of(reply, struct worker_msg_claim_reply, m));
}

static void
expect_verdict(struct fixture *f, uint64_t fingerprint, int64_t deadline_ms,
    enum worker_msg_verdict expected)
{
	struct worker_msg_claim_reply *r = claim(f, fingerprint, deadline_ms);

	assert_int_equal(r->ref, 77);
	assert_int_equal(r->verdict, expected);
	free(r);
}

static void
finish(struct fixture *f, uint64_t attempt, enum worker_msg_outcome outcome)
{
	struct worker_msg_finish *m = calloc(1, sizeof(*m));

	m->m.type = WORKER_MSG_FINISH;
	m->attempt = attempt;
	m->outcome = outcome;
	m->response.status = 201;
	memcpy(m->response.content_type, "text/plain", sizeof("text/plain"));
	m->response.body_len = 4;
	memcpy(m->response.body, "paid", sizeof("paid"));
	ctl_on_finish(f->c, &m->m);
}

/*
 * Guards against a grant that is valid for too long, and against a replayed
 * response that differs from the response of the first attempt.
 */
static void
test_grant_and_replay(void **state)
{
	struct fixture *f = *state;
	struct worker_msg_claim_reply *r = claim(f, 1, 1000);

	assert_int_equal(r->verdict, WORKER_MSG_GRANTED);
	assert_int_equal(
	    r->valid_until_us, (f->c->now_ms + GRANT_VALIDITY_MS) * 1000);
	expect_verdict(f, 1, 1000, WORKER_MSG_IN_PROGRESS);
	expect_verdict(f, 2, 1000, WORKER_MSG_MISMATCH);
	finish(f, r->attempt, WORKER_MSG_RUN_DONE);
	free(r);
	r = claim(f, 1, 1000);
	assert_int_equal(r->verdict, WORKER_MSG_DONE);
	assert_int_equal(r->response.status, 201);
	assert_string_equal(r->response.content_type, "text/plain");
	assert_int_equal(r->response.body_len, 4);
	assert_memory_equal(r->response.body, "paid", 4);
	free(r);
	assert_int_equal(metrics_get(&f->metrics, METRICS_CLAIMS), 4);
	assert_int_equal(
	    metrics_get(&f->metrics, METRICS_TAKEOVERS), PARTITION_COUNT);
}

/* Guards against a key that stays claimed after an attempt that did not run. */
static void
test_not_run(void **state)
{
	struct fixture *f = *state;
	struct worker_msg_claim_reply *r = claim(f, 1, 1000);

	finish(f, r->attempt, WORKER_MSG_RUN_NOT_RUN);
	free(r);
	expect_verdict(f, 1, 1000, WORKER_MSG_GRANTED);
}

/* Guards against grants on a VM that is not fresh or after the deadline. */
static void
test_unavailable(void **state)
{
	struct fixture *f = *state;

	stub.fresh = false;
	expect_verdict(f, 1, 1000, WORKER_MSG_UNAVAILABLE);
	stub.fresh = true;
	expect_verdict(f, 1, 0, WORKER_MSG_UNAVAILABLE);
	expect_verdict(f, 1, 1000, WORKER_MSG_GRANTED);
}

/*
 * Guards against a lost or repeated reply, and against a grant that reaches a
 * worker although the VM has become stale while the claim waited.
 */
static void
test_late_grant(void **state)
{
	struct fixture *f = *state;
	struct worker_msg_claim *m = calloc(1, sizeof(*m));
	struct msgq_msg *reply;

	/* The lease from store reads expires, so the claim has to wait. */
	stub.store_slow = true;
	run_ms(f->c, 2 * PARTITION_LEASE_MS);
	m->reply_to = &f->replies;
	memcpy(m->service, "pay", sizeof("pay"));
	m->key = (struct worker_msg_key){.n = 2, .s = {'k', '1'}};
	m->deadline_us = (f->c->now_ms + 3000) * 1000;
	ctl_on_claim(f->c, &m->m);
	assert_null(msgq_pop(&f->replies));
	stub.fresh = stub.store_slow = false;
	run_ms(f->c, 1000);
	reply = msgq_pop(&f->replies);
	assert_non_null(reply);
	assert_int_equal(
	    caa_container_of(reply, struct worker_msg_claim_reply, m)->verdict,
	    WORKER_MSG_UNAVAILABLE);
	free(caa_container_of(reply, struct worker_msg_claim_reply, m));
	assert_null(msgq_pop(&f->replies));
	stub.fresh = true;
	expect_verdict(f, 1, 1000, WORKER_MSG_GRANTED);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test_setup_teardown(
		test_grant_and_replay, setup, teardown),
	    cmocka_unit_test_setup_teardown(test_not_run, setup, teardown),
	    cmocka_unit_test_setup_teardown(test_unavailable, setup, teardown),
	    cmocka_unit_test_setup_teardown(test_late_grant, setup, teardown),
	};

	return (cmocka_run_group_tests(tests, NULL, NULL));
}
