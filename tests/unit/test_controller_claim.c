/*
 * The claim controller of one VM: store calls are answered by hand, claims come
 * as messages of a worker, time is an argument.
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
#define VALIDITY_MS 5000

/* Stand-ins for the control thread and the store threads. */

static struct store {
	bool fresh, slow;
	bool reading, writing;
	uint64_t version, tag;
	json_t *written;
} S;

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
	return (S.fresh);
}

void
store_thread_get(struct store_thread *s, const char *key, uint64_t tag)
{
	(void)s;
	assert_string_equal(key, PARTITION_KEY);
	assert_false(S.reading);
	S.reading = true;
	S.tag = tag;
}

void
store_thread_put(struct store_thread *s, const char *key, json_t *value,
    uint64_t if_version, uint64_t tag)
{
	(void)s;
	assert_string_equal(key, PARTITION_KEY);
	assert_int_equal(if_version, S.version);
	S.writing = true;
	S.tag = tag;
	json_decref(S.written);
	S.written = json_deep_copy(value);
}

static void
answer_store(struct control *c)
{
	struct store_thread_result r = {.tag = S.tag, .value = S.written};

	assert_int_equal(CONTROLLER_TAG_ID(S.tag), CONTROLLER_CLAIM);
	if (S.writing) {
		r.op = STORE_THREAD_PUT;
		S.version++;
	} else if (S.version == 0) {
		r.err = ERR_NOT_FOUND;
	}
	r.version = S.version;
	S.reading = S.writing = false;
	controller_claim.ops->on_store(c, &r);
}

/* Ticks; each store call is answered in the tick after it, if not slow. */
static void
run_ms(struct control *c, int64_t ms)
{
	for (int64_t end = c->now_ms + ms; c->now_ms < end;) {
		c->now_ms += TICK_MS;
		if (!S.slow && (S.reading || S.writing))
			answer_store(c);
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

	memset(&S, 0, sizeof(S));
	S.fresh = true;
	f->c = calloc(1, sizeof(*f->c));
	f->set.claim_retention_s = 60;
	f->c->desc = (struct ctl_desc){.set = &f->set, .metrics = &f->metrics};
	f->c->self = vmid_from(BSTR("vm1@1"));
	f->c->now_ms = START_MS;
	msgq_init(&f->replies);
	controller_claim.ops->setup(f->c);
	self.id = f->c->self;
	partition_on_members(&f->c->partitions, &self, 1, START_MS, &out);
	ctl_prt(f->c, &out);
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
	json_decref(S.written);
	msgq_finish(&f->replies);
	free(f->c);
	free(f);
	return (0);
}

/* Claims and returns the reply, of which there must be one. */
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
	/* Rounded down to milliseconds. */
	m->deadline_us = (f->c->now_ms + deadline_ms) * 1000 + 999;
	ctl_on_claim(f->c, &m->m);
	reply = msgq_pop(&f->replies);
	assert_non_null(reply);
	assert_null(msgq_pop(&f->replies));
	assert_int_equal(reply->type, WORKER_MSG_CLAIM_REPLY);
	return (caa_container_of(reply, struct worker_msg_claim_reply, m));
}

static void
expect(struct fixture *f, uint64_t fingerprint, int64_t deadline_ms,
    enum worker_msg_verdict want)
{
	struct worker_msg_claim_reply *r = claim(f, fingerprint, deadline_ms);

	assert_int_equal(r->ref, 77);
	assert_int_equal(r->verdict, want);
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

/* Guards against a grant that is valid too long and a reply that differs from
 * the response of the first attempt. */
static void
test_grant_and_replay(void **state)
{
	struct fixture *f = *state;
	struct worker_msg_claim_reply *r = claim(f, 1, 1000);

	assert_int_equal(r->verdict, WORKER_MSG_GRANTED);
	assert_int_equal(
	    r->valid_until_us, (f->c->now_ms + VALIDITY_MS) * 1000);
	expect(f, 1, 1000, WORKER_MSG_IN_PROGRESS);
	expect(f, 2, 1000, WORKER_MSG_MISMATCH);
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

/* Guards against a key that stays in use after an attempt that did not run. */
static void
test_not_run(void **state)
{
	struct fixture *f = *state;
	struct worker_msg_claim_reply *r = claim(f, 1, 1000);

	finish(f, r->attempt, WORKER_MSG_RUN_NOT_RUN);
	free(r);
	expect(f, 1, 1000, WORKER_MSG_GRANTED);
}

/* Guards against grants on a VM that is not fresh or after the deadline. */
static void
test_unavailable(void **state)
{
	struct fixture *f = *state;

	S.fresh = false;
	expect(f, 1, 1000, WORKER_MSG_UNAVAILABLE);
	S.fresh = true;
	expect(f, 1, 0, WORKER_MSG_UNAVAILABLE);
	expect(f, 1, 1000, WORKER_MSG_GRANTED);
}

/* Guards against a lost reply, a second one, and a grant that reaches a worker
 * after the VM has ceased to be fresh. */
static void
test_late_grant(void **state)
{
	struct fixture *f = *state;
	struct worker_msg_claim *m = calloc(1, sizeof(*m));
	struct msgq_msg *reply;

	/* The lease by the store ends, so the claim waits. */
	S.slow = true;
	run_ms(f->c, 2 * PARTITION_LEASE_MS);
	m->reply_to = &f->replies;
	memcpy(m->service, "pay", sizeof("pay"));
	m->key = (struct worker_msg_key){.n = 2, .s = {'k', '1'}};
	m->deadline_us = (f->c->now_ms + 3000) * 1000;
	ctl_on_claim(f->c, &m->m);
	assert_null(msgq_pop(&f->replies));
	S.fresh = S.slow = false;
	run_ms(f->c, 1000);
	reply = msgq_pop(&f->replies);
	assert_non_null(reply);
	assert_int_equal(
	    caa_container_of(reply, struct worker_msg_claim_reply, m)->verdict,
	    WORKER_MSG_UNAVAILABLE);
	free(caa_container_of(reply, struct worker_msg_claim_reply, m));
	assert_null(msgq_pop(&f->replies));
	S.fresh = true;
	expect(f, 1, 1000, WORKER_MSG_GRANTED);
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
