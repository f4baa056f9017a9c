/*
 * A move to a bad version. The store is down when the executor of the move
 * decides to roll back, so the decision reaches the other VMs but not the
 * store. Then the executor's machine is lost for good.
 */
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "kit.h"

#define N_VMS 3
#define N_TARGETS 6
#define N_REQUESTERS 72
#define REQUEST_PAUSE_S 0.28
#define WORK_S 0.02
/* The order of the move and its time limit. */
#define DURATION_S 16.0
#define BAD_FROM_S 9.0
/* Outage of the store, and the kill of the executor, after the order. */
#define DOWN_FROM_S 8.8
#define DOWN_UNTIL_S 10.6
#define KILL_AT_S 10.2
#define END_S 30.0
/* Bounds of the site. */
#define CONTACT_S 3.0
#define ROLLBACK_S 5.0
#define EXPOSURE_SHARE 0.1
#define EXPOSURE_SLACK 50

static struct kit_target old[N_TARGETS], new[N_TARGETS];
static struct kit_vm vms[N_VMS];
static double order_s = 1e9;
static bool old_stopped;
static int stop;

/* Guarded by @lock. */
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static int to_old, to_new, bad_stable;
static double bad_50th_s;
static int late_at_new;
static unsigned n_new;

static double
stable_from_s(void)
{
	return (kit_trouble() ? order_s + DOWN_UNTIL_S + CONTACT_S : order_s);
}

static bool
fail(struct kit_conn *c, const struct kit_head *h)
{
	char id[128];

	kit_field(h, "X-Request-Id", id, sizeof(id));
	return (kit_sendf(c->fd,
	    "HTTP/1.1 500 Internal Server Error\r\nX-Request-Id: %s\r\n"
	    "X-Server-Signature: %s.0.e\r\nContent-Length: 0\r\n\r\n",
	    id, id));
}

static bool
serve(struct kit_target *t, struct kit_conn *c, const struct kit_head *h)
{
	bool is_new = strcmp(t->version, "v2") == 0, bad = false;
	double now = kit_now();
	char *body, id[64];
	size_t n;

	if (!kit_read_body(c, h, false, 5, &body, &n))
		return (false);
	free(body);
	kit_field(h, "X-Request-Id", id, sizeof(id));
	/* At `completed` the old targets stop immediately. */
	if (!is_new && old_stopped)
		return (false);
	pthread_mutex_lock(&lock);
	if (now >= order_s && now < order_s + DURATION_S) {
		to_new += is_new;
		to_old += !is_new;
	}
	/* Three in ten requests fail. */
	bad = is_new && now >= order_s + BAD_FROM_S && n_new++ % 10 < 3;
	if (bad && now >= stable_from_s() && ++bad_stable == 50)
		bad_50th_s = now;
	if (is_new && bad_50th_s != 0 && now > bad_50th_s + ROLLBACK_S + 1)
		late_at_new++;
	pthread_mutex_unlock(&lock);
	kit_record("target %s (%s) runs %s%s", t->id, t->version, id,
	    bad ? ", which fails" : "");
	kit_sleep(WORK_S);
	return (bad ? fail(c, h) : kit_answer(c, h, "done", 4));
}

static void *
run_requester(void *arg)
{
	int i = (int)(intptr_t)arg;
	struct kit_reply *r = malloc(sizeof(*r));

	for (int n = 0; !__atomic_load_n(&stop, __ATOMIC_SEQ_CST); n++) {
		const struct kit_vm *vm = &vms[(i + n) % N_VMS];
		char id[32];
		struct kit_request q = {.method = "POST",
		    .host = "a.example",
		    .target = "/dep/x",
		    .id = id,
		    .body = "amount=5",
		    .body_n = 8,
		    .deadline_ms = 5000};

		snprintf(id, sizeof(id), "r%02d-%d", i, n);
		kit_call(vm, &q, 6, r);
		kit_record("request %s at %s: status %d", id, vm->id, r->status);
		kit_reply_free(r);
		kit_sleep(REQUEST_PAUSE_S);
	}
	free(r);
	return (NULL);
}

static void
start_targets(struct kit_target *list, const char *version)
{
	for (int i = 0; i < N_TARGETS; i++) {
		struct kit_target *t = &list[i];

		snprintf(t->id, sizeof(t->id), "i-%s-%d", version, i);
		strcpy(t->service, "caixa");
		strcpy(t->zone, "zone-a");
		strcpy(t->version, version);
		t->slots = 6;
		t->serve = serve;
		kit_target_start(t);
	}
}

static struct kit_vm *
find_executor(void)
{
	char id[64];

	kit_store_status("rollouts", "caixa", "executor", id, sizeof(id));
	for (int i = 0; i < N_VMS; i++) {
		if (strcmp(vms[i].id, id) == 0)
			return (&vms[i]);
	}
	return (NULL);
}

static void
wait_until(double s)
{
	if (s > kit_now())
		kit_sleep(s - kit_now());
}

static void
play_disruption(void)
{
	struct kit_vm *vm = find_executor();
	int status;

	if (vm == NULL) {
		kit_record("there is no executor");
		kit_exit(KIT_CANNOT_RUN);
	}
	wait_until(order_s + DOWN_FROM_S);
	kit_store_set_down(true);
	wait_until(order_s + KILL_AT_S);
	kit_record("rollbacks decided at the executor %s: %d", vm->id,
	    kit_vm_count_log(vm, "the new version fails"));
	kit_vm_kill(vm, SIGKILL);
	kit_vm_wait_end(vm, 5, &status);
	wait_until(order_s + DOWN_UNTIL_S);
	kit_store_set_down(false);
}

int
main(int argc, char **argv)
{
	char state[32] = "", last[32] = "";
	pthread_t t;
	int port, all, rc;

	kit_init(argc, argv);
	port = kit_store_start();
	kit_store_put("config", "main",
	    "{\"version\":7,\"routes\":{\"r1\":{\"host\":\"a.example\","
	    "\"pathPrefix\":\"/dep/\",\"kind\":\"unsafe\","
	    "\"timeout\":\"2500ms\",\"latencyGoal\":\"800ms\","
	    "\"priority\":1,\"service\":\"caixa\",\"attempts\":2}},"
	    "\"services\":{\"caixa\":{\"healthPath\":\"/health\","
	    "\"maxConnections\":220,\"protocol\":\"h1\",\"tls\":false,"
	    "\"warmup\":\"3s\",\"warmupPerS\":7.8}},\"limits\":{"
	    "\"maxHeaderBytes\":16384,\"maxBodyBytes\":67108864,"
	    "\"headerTimeout\":\"3000ms\",\"idleTimeout\":\"15000ms\"}}");
	start_targets(old, "v1");
	for (int i = 0; i < N_VMS; i++) {
		kit_vm_init(&vms[i], i, port);
		kit_vm_start(&vms[i]);
	}
	for (int i = 0; i < N_VMS; i++) {
		if (!kit_vm_wait_ready(&vms[i], 10))
			kit_exit(KIT_CANNOT_RUN);
	}
	kit_sleep(4);
	for (intptr_t i = 0; i < N_REQUESTERS; i++)
		pthread_create(&t, NULL, run_requester, (void *)i);
	kit_sleep(2);
	kit_store_put("rollouts", "caixa",
	    "{\"service\":\"caixa\",\"toVersion\":\"v2\","
	    "\"duration\":\"16s\"}");
	order_s = kit_now();
	start_targets(new, "v2");
	wait_until(order_s + 5);
	if (kit_trouble())
		play_disruption();
	while (kit_now() < order_s + END_S) {
		kit_store_status(
		    "rollouts", "caixa", "state", state, sizeof(state));
		if (strcmp(state, last) != 0)
			kit_record("the status of the move is %s", state);
		strcpy(last, state);
		if (strcmp(state, "completed") == 0 && !old_stopped) {
			old_stopped = true;
			kit_record("the old targets stop");
			for (int i = 0; i < N_TARGETS; i++)
				kit_store_remove("servers", old[i].id);
		}
		kit_sleep(0.05);
	}
	__atomic_store_n(&stop, 1, __ATOMIC_SEQ_CST);
	for (int i = 0; i < N_VMS; i++)
		kit_vm_record_log(&vms[i], "\"move\"", 20);
	pthread_mutex_lock(&lock);
	all = to_old + to_new;
	kit_record("between order and time limit: %d requests, %d to the bad "
		   "version, permitted %.0f",
	    all, to_new, EXPOSURE_SHARE * all + EXPOSURE_SLACK);
	kit_record("bad answers since the store was stable: %d, requests to "
		   "the bad version later than the bound after the 50th: %d",
	    bad_stable, late_at_new);
	rc = late_at_new > 0 || to_new > EXPOSURE_SHARE * all + EXPOSURE_SLACK
	    ? KIT_BROKEN
	    : KIT_PASS;
	kit_exit(rc);
}
