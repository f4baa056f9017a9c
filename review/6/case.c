/*
 * Case 6: entries of another writer, whose names have a space, stand in the
 * store beside the targets. All machines are killed and started again. They
 * never become ready, because the next page of the list of targets is asked for
 * with the unescaped name.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "lib-2/kit.h"

#define N_VMS 3
#define N_TARGETS 27
#define N_FOREIGN 40
/* A page ends at about 1 MB: 27 targets and 33 foreign entries of 30 KB. */
#define FOREIGN_BYTES (30 * 1024)
#define PAGE 60
#define DOWN_MS 1000
#define RECOVERY_MS 15000
#define JUDGED_MS 10000
#define HOST "jepu9.example"

static const char *const zones[] = {"serra-a", "serra-b", "serra-c"};
static struct kit_vm vm[N_VMS];
static struct kit_target targets[N_TARGETS];

static const char config[] =
    "{\"version\":7,\"routes\":{\"r-1\":{\"host\":\"" HOST "\","
    "\"pathPrefix\":\"/lepu270/\",\"kind\":\"safe\",\"timeout\":\"2000ms\","
    "\"latencyGoal\":\"600ms\",\"priority\":2,\"service\":\"huvo11a\","
    "\"attempts\":2}},\"services\":{\"huvo11a\":{\"healthPath\":\"/health\","
    "\"maxConnections\":220,\"protocol\":\"h1\",\"tls\":false,"
    "\"warmup\":\"3s\",\"warmupPerS\":7.8}},\"limits\":{"
    "\"maxHeaderBytes\":16384,\"maxBodyBytes\":67108864,"
    "\"headerTimeout\":\"3000ms\",\"idleTimeout\":\"15000ms\"}}";

/** struct count - requests of a phase */
struct count {
	unsigned sent;
	unsigned served;
};

/* Sends requests to the machines in turn, ten a second. */
static struct count
send_for(const char *phase, int64_t ms)
{
	struct count c = {0};
	int64_t end = kit_ms() + ms;

	for (unsigned i = 0; kit_ms() < end; i++) {
		struct kit_vm *v = &vm[i % N_VMS];
		int fd = kit_connect(v);
		struct kit_answer a =
		    kit_request(fd, "GET", "/lepu270/2f", HOST, "", NULL, 4000);
		bool ok = a.end == KIT_ANSWERED && a.status == 200 &&
		    a.signature && a.body_ok;

		c.sent++;
		c.served += ok;
		kit_log("%s: request %s to edge-%u: %s, status %u %s, run %u "
			"times",
		    phase, a.id, v->index, kit_end_name(a.end), a.status,
		    a.error, kit_run_count(a.id));
		if (fd >= 0)
			close(fd);
		kit_sleep(100);
	}
	kit_log("%s: %u of %u requests served", phase, c.served, c.sent);
	return (c);
}

/* Entries that name no target: their fields are missing. */
static void
put_foreign(struct object_store *store)
{
	static char spec[FOREIGN_BYTES + 64];
	char log[FOREIGN_BYTES + 1];

	memset(log, 'x', FOREIGN_BYTES);
	log[FOREIGN_BYTES] = '\0';
	snprintf(
	    spec, sizeof(spec), "{\"owner\":\"backup\",\"log\":\"%s\"}", log);
	for (unsigned i = 0; i < N_FOREIGN; i++) {
		char name[32];

		snprintf(name, sizeof(name),
		    kit_trouble() ? "old job %02u" : "old-job-%02u", i);
		object_store_put(store, "servers", name, spec);
	}
	kit_log("another writer put %u entries, such as \"%s\"", N_FOREIGN,
	    kit_trouble() ? "old job 00" : "old-job-00");
}

int
main(int argc, char **argv)
{
	struct object_store *store;
	struct count before, foreign, after;

	kit_init(argc > 1 ? argv[1] : ".");
	store = object_store_new(&(struct object_store_desc){.page = PAGE});
	if (store == NULL)
		kit_finish(KIT_CANNOT_RUN, "no store");
	object_store_put(store, "config", "main", config);
	for (unsigned i = 0; i < N_TARGETS; i++) {
		targets[i] = (struct kit_target){.service = "huvo11a",
		    .zone = zones[i % 3],
		    .slots = 6,
		    .work_ms = 20};
		snprintf(
		    targets[i].id, sizeof(targets[i].id), "i-7f3a91%02x", i);
		kit_target_start(&targets[i], store);
	}
	for (unsigned i = 0; i < N_VMS; i++) {
		kit_vm_init(&vm[i], i + 1, zones[i % 3], store);
		kit_vm_start(&vm[i]);
	}
	for (unsigned i = 0; i < N_VMS; i++) {
		if (!kit_vm_wait_ready(&vm[i], 10000))
			kit_finish(KIT_CANNOT_RUN, "a machine is not ready");
	}
	before = send_for("before", 4000);
	put_foreign(store);
	kit_sleep(3000);
	foreign = send_for("with the entries", 4000);
	if (before.served * 4 < before.sent ||
	    foreign.served * 4 < foreign.sent)
		kit_finish(
		    KIT_CANNOT_RUN, "requests are not served before the kill");
	for (unsigned i = 0; i < N_VMS; i++)
		kit_vm_kill(&vm[i]);
	kit_sleep(DOWN_MS);
	for (unsigned i = 0; i < N_VMS; i++)
		kit_vm_start(&vm[i]);
	kit_sleep(RECOVERY_MS);
	for (unsigned i = 0; i < N_VMS; i++)
		kit_log("edge-%u is %s", vm[i].index,
		    kit_vm_is_ready(&vm[i]) ? "ready" : "not ready");
	after = send_for("after the recovery", JUDGED_MS);
	kit_finish(after.served * 4 < after.sent ? KIT_BROKEN : KIT_HELD,
	    "RECOVER: %u of %u requests served that were sent later than 15 s "
	    "after the machines were back; %u of %u before",
	    after.served, after.sent, foreign.served, foreign.sent);
}
