/*
 * Three VMs serve deposits (unsafe) and lookups (safe) on kept connections. The
 * operator sends two versions of the config with 1,400 further routes each, and
 * three that change the timeout of the lookups. With the trouble each of the
 * further routes has a host of its own, without it all have the same host. A
 * process of a VM that exceeds the memory of its machine is killed and started
 * again, as the platform does. Counts the requests that a server ran and whose
 * connection was closed without an answer.
 */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "lib/object_store.h"
#include "../lib-3/rig.h"

#define VMS 3
#define SERVERS 6
#define CLIENTS 24
#define CONTACT_S 3.0
#define READY_S 20.0

#define MORE_ROUTES 1400 /* of each of the two versions */
#define CHANGES 3        /* further versions */
#define VALUE_BYTES 1048576
#define MEMORY_KB (260 * 1024)
#define MEMORY_CHECK_S 0.005
#define RESTART_S 0.5

#define BEFORE_S 3.0  /* traffic before the first further version */
#define BETWEEN_S 4.0 /* between two versions */
#define AFTER_S 6.0

#define LOST_ALLOWED 3

static struct rig_server servers[SERVERS];
static struct rig_vm vms[VMS];
static _Atomic bool over;
static _Atomic unsigned ends[VMS];
static _Atomic long peak_kb;
static _Atomic unsigned sent, served, cut_after_run;

/* %d: timeout of the lookups in milliseconds */
static const char routes[] =
    "\"pay\":{\"host\":\"pay.example\",\"pathPrefix\":\"/deposit/\","
    "\"kind\":\"unsafe\",\"timeout\":\"2500ms\",\"latencyGoal\":\"800ms\","
    "\"priority\":1,\"service\":\"caixa\",\"attempts\":2},"
    "\"look\":{\"host\":\"pay.example\",\"pathPrefix\":\"/look/\","
    "\"kind\":\"safe\",\"timeout\":\"%dms\",\"latencyGoal\":\"600ms\","
    "\"priority\":1,\"service\":\"caixa\",\"attempts\":2}";

static const char rest[] =
    "},\"services\":{\"caixa\":{\"healthPath\":\"/health\","
    "\"maxConnections\":220,\"protocol\":\"h1\",\"tls\":false,"
    "\"warmup\":\"3s\",\"warmupPerS\":7.8}},"
    "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":67108864,"
    "\"headerTimeout\":\"3000ms\",\"idleTimeout\":\"15000ms\"}}";

/* Writes a version with @more further routes. */
static bool
send_config(struct object_store *store, int version, int more, int timeout_ms)
{
	char *text = malloc(2 * VALUE_BYTES);
	size_t n =
	    (size_t)sprintf(text, "{\"version\":%d,\"routes\":{", version);

	n += (size_t)sprintf(text + n, routes, timeout_ms);

	for (int i = 0; i < more && n < VALUE_BYTES; i++)
		n += (size_t)sprintf(text + n,
		    ",\"shop-%d\":{\"host\":\"shop-%04d.example\","
		    "\"pathPrefix\":\"/shop-%d/\",\"kind\":\"safe\","
		    "\"timeout\":\"2000ms\",\"latencyGoal\":\"600ms\","
		    "\"priority\":1,\"service\":\"caixa\",\"attempts\":2}",
		    i, rig_trouble() ? i : 0, i);
	n += (size_t)sprintf(text + n, "%s", rest);
	if (n > VALUE_BYTES) {
		rig_say("the config does not fit into an object");
		free(text);
		return (false);
	}
	object_store_put(store, "config", "main", text);
	rig_say("config version %d: %d further routes, %zu bytes", version,
	    more, n);
	free(text);
	return (true);
}

static void
start_servers(struct object_store *store)
{
	static const char *const zones[] = {"serra-a", "serra-b", "serra-c"};

	for (int i = 0; i < SERVERS; i++) {
		struct rig_server *s = &servers[i];

		snprintf(s->id, sizeof(s->id), "i-caixa-%d", i);
		s->service = "caixa";
		s->zone = zones[i % 3];
		s->version = "v1";
		s->slots = 6;
		s->work_s = 0.2;
		rig_server_start(s);
	}
	rig_check_in(store, servers, SERVERS);
}

static bool
start_vms(struct object_store *store)
{
	bool ready = true;

	for (int i = 0; i < VMS; i++) {
		char id[32], zone[16];

		snprintf(zone, sizeof(zone), "serra-%c", 'a' + i);
		snprintf(id, sizeof(id), "edge-%s-1", zone);
		rig_vm_start(&vms[i], id, zone, object_store_port(store));
	}
	for (int i = 0; i < VMS; i++)
		ready = ready && rig_vm_wait(&vms[i], READY_S);
	return (ready);
}

/* Memory that a process uses, in KB; 0 if it is gone. */
static long
memory_kb(pid_t pid)
{
	char path[64], line[256];
	long kb = 0;
	FILE *f;

	snprintf(path, sizeof(path), "/proc/%d/status", (int)pid);
	f = fopen(path, "r");
	while (f != NULL && fgets(line, sizeof(line), f) != NULL) {
		if (sscanf(line, "VmRSS: %ld", &kb) == 1)
			break;
	}
	if (f != NULL)
		fclose(f);
	return (kb);
}

/* Kills the process of a VM that has too much memory, and starts it again. */
static void *
watch_memory(void *arg)
{
	int i = (int)(intptr_t)arg;

	while (!over) {
		long kb = memory_kb(vms[i].pid);

		if (kb > peak_kb)
			peak_kb = kb;
		if (kb > MEMORY_KB) {
			rig_vm_kill(&vms[i]);
			ends[i]++;
			rig_note("VM %s had %ld KB, killed", vms[i].id, kb);
			rig_sleep(RESTART_S);
			rig_vm_restart(&vms[i]);
		}
		rig_sleep(MEMORY_CHECK_S);
	}
	return (NULL);
}

static void
count(const struct rig_call *c)
{
	sent++;
	served += c->status == 200 && c->signature;
	if (c->cut && rig_was_run(c->id)) {
		cut_after_run++;
		rig_note("client: %s was run and its connection ended without "
			 "an answer",
		    c->id);
	}
}

static void *
run_client(void *arg)
{
	int n = (int)(intptr_t)arg;
	struct rig_call pay = {.method = "POST",
	    .host = "pay.example",
	    .path = "/deposit/1",
	    .deadline_ms = 5000,
	    .conn = -1,
	    .body_n = 300};
	struct rig_call look = {.method = "GET",
	    .host = "pay.example",
	    .path = "/look/1",
	    .deadline_ms = 4000,
	    .conn = -1};

	for (int i = 0; !over; i++) {
		struct rig_call *c = i % 2 == 0 ? &pay : &look;

		rig_call(&vms[n % VMS], c);
		count(c);
		rig_sleep(0.05);
	}
	return (NULL);
}

int
main(int argc, char **argv)
{
	struct object_store *store =
	    object_store_new(&(struct object_store_desc){0});
	pthread_t clients[CLIENTS], watchers[VMS];

	rig_record(argc > 1 ? argv[1] : "record.txt");
	if (store == NULL || !send_config(store, 1, 0, 2000))
		return (RIG_CANNOT_RUN);
	start_servers(store);
	if (!start_vms(store)) {
		rig_say("a VM did not become ready");
		return (RIG_CANNOT_RUN);
	}
	rig_sleep(CONTACT_S);
	for (intptr_t i = 0; i < VMS; i++)
		pthread_create(&watchers[i], NULL, watch_memory, (void *)i);
	for (intptr_t i = 0; i < CLIENTS; i++)
		pthread_create(&clients[i], NULL, run_client, (void *)i);
	rig_sleep(BEFORE_S);
	send_config(store, 2, MORE_ROUTES, 2000);
	rig_sleep(BETWEEN_S);
	send_config(store, 3, 2 * MORE_ROUTES, 2000);
	for (int i = 1; i <= CHANGES; i++) {
		rig_sleep(BETWEEN_S);
		send_config(store, 3 + i, 2 * MORE_ROUTES, 2000 + i * 100);
	}
	rig_sleep(AFTER_S);
	over = true;
	for (int i = 0; i < CLIENTS; i++)
		pthread_join(clients[i], NULL);
	for (int i = 0; i < VMS; i++)
		pthread_join(watchers[i], NULL);
	for (int i = 0; i < VMS; i++)
		rig_vm_end(&vms[i]);
	rig_say(
	    "most memory of a process %ld KB (allowed %d); ended by it: %u, "
	    "%u and %u times",
	    peak_kb, MEMORY_KB, ends[0], ends[1], ends[2]);
	rig_say(
	    "%u of %u requests served; run by a server and cut off without an "
	    "answer: %u (allowed %d)",
	    served, sent, cut_after_run, LOST_ALLOWED);
	if (served == 0)
		return (RIG_CANNOT_RUN);
	return (cut_after_run > LOST_ALLOWED ? RIG_BROKEN : RIG_HELD);
}
