/*
 * The targets of the service don't tell their load: no answer of theirs has
 * X-Server-Load. All processes are killed and start again; requests must be
 * served after that. With ONLY_KILL=1, or TROUBLE=0, the targets tell their load.
 */
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "kit.h"

#define N_VMS 3
#define N_TARGETS 6
#define N_REQUESTERS 12
#define REQUEST_PAUSE_S 0.2
#define BEFORE_S 3.0
#define DOWN_S 1.0
#define RECOVERY_S 15.0 /* bound of the site */
#define AFTER_S 15.0

static struct kit_target targets[N_TARGETS];
static struct kit_vm vms[N_VMS];
static int phase; /* 1 before the fault, 2 recovery, 3 after it, 0 the end */
static int asked[4], served[4];

/* Whether the kill of all processes is played alone, for comparison. */
static bool
only_kill(void)
{
	return (getenv("ONLY_KILL") != NULL);
}

static bool
serve(struct kit_target *t, struct kit_conn *c, const struct kit_head *h)
{
	char *body, id[64];
	size_t n;

	if (!kit_read_body(c, h, false, 5, &body, &n))
		return (false);
	free(body);
	kit_field(h, "X-Request-Id", id, sizeof(id));
	kit_record("target %s runs %s", t->id, id);
	kit_sleep(0.05);
	return (kit_answer(c, h, "seats", 5));
}

static void *
run_requester(void *arg)
{
	int i = (int)(intptr_t)arg, p;
	struct kit_reply *r = malloc(sizeof(*r));

	for (int n = 0; (p = __atomic_load_n(&phase, __ATOMIC_SEQ_CST)) != 0;
	     n++) {
		const struct kit_vm *vm = &vms[(i + n) % N_VMS];
		char id[32];
		struct kit_request q = {.method = "GET",
		    .host = "a.example",
		    .target = "/av/x",
		    .id = id,
		    .deadline_ms = 4000};
		bool ok;

		snprintf(id, sizeof(id), "r%02d-%d", i, n);
		kit_call(vm, &q, 5, r);
		ok = r->status == 200 && r->complete && r->signed_ok;
		__atomic_add_fetch(&asked[p], 1, __ATOMIC_SEQ_CST);
		__atomic_add_fetch(&served[p], ok, __ATOMIC_SEQ_CST);
		kit_record("request %s at %s: status %d", id, vm->id, r->status);
		kit_reply_free(r);
		kit_sleep(REQUEST_PAUSE_S);
	}
	free(r);
	return (NULL);
}

static void
set_phase(int p)
{
	kit_record("phase %d", p);
	__atomic_store_n(&phase, p, __ATOMIC_SEQ_CST);
}

int
main(int argc, char **argv)
{
	int port, status;
	pthread_t t;

	kit_init(argc, argv);
	port = kit_store_start();
	kit_store_put("config", "main",
	    "{\"version\":7,\"routes\":{\"r1\":{\"host\":\"a.example\","
	    "\"pathPrefix\":\"/av/\",\"kind\":\"safe\","
	    "\"timeout\":\"2000ms\",\"latencyGoal\":\"600ms\","
	    "\"priority\":2,\"service\":\"vagas\",\"attempts\":2}},"
	    "\"services\":{\"vagas\":{\"healthPath\":\"/health\","
	    "\"maxConnections\":220,\"protocol\":\"h1\",\"tls\":false,"
	    "\"warmup\":\"3s\",\"warmupPerS\":7.8}},\"limits\":{"
	    "\"maxHeaderBytes\":16384,\"maxBodyBytes\":67108864,"
	    "\"headerTimeout\":\"3000ms\",\"idleTimeout\":\"15000ms\"}}");
	for (int i = 0; i < N_TARGETS; i++) {
		snprintf(targets[i].id, sizeof(targets[i].id), "i-%d", i);
		strcpy(targets[i].service, "vagas");
		strcpy(targets[i].zone, "zone-a");
		strcpy(targets[i].version, "v1");
		targets[i].slots = 6;
		targets[i].serve = serve;
		targets[i].hides_load = kit_trouble() && !only_kill();
		kit_target_start(&targets[i]);
	}
	for (int i = 0; i < N_VMS; i++) {
		kit_vm_init(&vms[i], i, port);
		kit_vm_start(&vms[i]);
	}
	for (int i = 0; i < N_VMS; i++) {
		if (!kit_vm_wait_ready(&vms[i], 10))
			kit_exit(KIT_CANNOT_RUN);
	}
	set_phase(1);
	for (intptr_t i = 0; i < N_REQUESTERS; i++)
		pthread_create(&t, NULL, run_requester, (void *)i);
	kit_sleep(BEFORE_S);
	set_phase(2);
	for (int i = 0; i < N_VMS && kit_trouble(); i++)
		kit_vm_kill(&vms[i], SIGKILL);
	for (int i = 0; i < N_VMS && kit_trouble(); i++)
		kit_vm_wait_end(&vms[i], 5, &status);
	kit_sleep(DOWN_S);
	for (int i = 0; i < N_VMS && kit_trouble(); i++)
		kit_vm_start(&vms[i]);
	kit_sleep(RECOVERY_S);
	set_phase(3);
	kit_sleep(AFTER_S);
	set_phase(0);
	kit_sleep(1);
	for (int i = 0; i < N_VMS; i++) {
		kit_record("vm %s is %sready", vms[i].id,
		    kit_vm_is_ready(&vms[i]) ? "" : "not ");
		kit_vm_record_log(&vms[i], "overloaded", 2);
	}
	kit_record("served before the fault: %d of %d; later than the bound "
		   "after it: %d of %d",
	    served[1], asked[1], served[3], asked[3]);
	if (served[1] * 4 < asked[1] || asked[3] == 0)
		kit_exit(KIT_CANNOT_RUN);
	kit_exit(served[3] * 4 < asked[3] ? KIT_BROKEN : KIT_PASS);
}
