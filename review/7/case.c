/*
 * Case 7: requesters send heads of about 12 KB, of the 16 KB that the config
 * allows. The targets run the requests, and the machine closes the connections
 * without an answer.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "lib-2/kit.h"

#define N_TARGETS 6
#define N_REQUESTS 40
#define HOST "hulo84.example"
/* LOST breaks with more than this many. */
#define MAX_LOST 3
#define COOKIE_MIN 11000
#define COOKIE_STEP 30
#define COOKIE_SHORT 1000

static struct kit_vm vm;
static struct kit_target targets[N_TARGETS];

static const char config[] =
    "{\"version\":7,\"routes\":{\"r-1\":{\"host\":\"" HOST "\","
    "\"pathPrefix\":\"/xapu221/ny95/\",\"kind\":\"unsafe\","
    "\"timeout\":\"2500ms\",\"latencyGoal\":\"800ms\",\"priority\":1,"
    "\"service\":\"wuno96b\",\"attempts\":2}},\"services\":{\"wuno96b\":{"
    "\"healthPath\":\"/health\",\"maxConnections\":220,\"protocol\":\"h1\","
    "\"tls\":false,\"warmup\":\"3s\",\"warmupPerS\":7.8}},\"limits\":{"
    "\"maxHeaderBytes\":16384,\"maxBodyBytes\":67108864,"
    "\"headerTimeout\":\"3000ms\",\"idleTimeout\":\"15000ms\"}}";

/* An answer head of about 2 KB, as of a service that sets cookies. */
static char extra_head[2048];

static void
fill_extra_head(void)
{
	size_t n = 0;

	for (unsigned i = 0; i < 12; i++)
		n += (size_t)snprintf(extra_head + n, sizeof(extra_head) - n,
		    "Set-Cookie: session-part-%02u=%0100u; Path=/; "
		    "HttpOnly\r\n",
		    i, i);
}

/* One Cookie field of @n bytes, with cookies of about 100 bytes. */
static void
fill_cookie(char *out, size_t n)
{
	size_t at = (size_t)sprintf(out, "Cookie: ");
	size_t end = at + n;

	for (unsigned i = 0; at + 110 < end; i++)
		at += (size_t)sprintf(
		    out + at, "%sc%03u=%090u", i == 0 ? "" : "; ", i, i);
	strcpy(out + at, "\r\n");
}

int
main(int argc, char **argv)
{
	static char cookie[16384];
	unsigned lost = 0, unsent = 0, served = 0, other = 0;
	struct object_store *store;

	kit_init(argc > 1 ? argv[1] : ".");
	store = object_store_new(&(struct object_store_desc){0});
	if (store == NULL)
		kit_finish(KIT_CANNOT_RUN, "no store");
	fill_extra_head();
	object_store_put(store, "config", "main", config);
	for (unsigned i = 0; i < N_TARGETS; i++) {
		targets[i] = (struct kit_target){.service = "wuno96b",
		    .zone = "serra-a",
		    .slots = 6,
		    .work_ms = 50,
		    .extra_head = extra_head};
		snprintf(
		    targets[i].id, sizeof(targets[i].id), "i-7f3a91%02x", i);
		kit_target_start(&targets[i], store);
	}
	kit_vm_init(&vm, 1, "serra-a", store);
	kit_vm_start(&vm);
	if (!kit_vm_wait_ready(&vm, 10000))
		kit_finish(KIT_CANNOT_RUN, "the machine is not ready");
	/* The machine has to be in touch: undisturbed for 3 s. */
	kit_sleep(4000);
	for (unsigned i = 0; i < N_REQUESTS; i++) {
		int fd = kit_connect(&vm);
		struct kit_answer first, a;
		unsigned runs;

		first = kit_request(
		    fd, "POST", "/xapu221/ny95/a", HOST, "", "amount=1", 5000);
		if (first.end != KIT_ANSWERED || first.status != 200)
			kit_finish(KIT_CANNOT_RUN,
			    "a plain request was not served: %s %u",
			    kit_end_name(first.end), first.status);
		fill_cookie(cookie,
		    kit_trouble() ? COOKIE_MIN + i * COOKIE_STEP
				  : COOKIE_SHORT);
		a = kit_request(fd, "POST", "/xapu221/ny95/b", HOST, cookie,
		    "amount=2", 5000);
		close(fd);
		runs = kit_run_count(a.id);
		kit_log(
		    "request %s on a kept connection, %zu bytes of cookies: "
		    "%s, status %u %s, run %u times",
		    a.id, strlen(cookie) - 10, kit_end_name(a.end), a.status,
		    a.error, runs);
		lost += a.end == KIT_CLOSED && runs != 0;
		unsent += a.end == KIT_CLOSED && runs == 0;
		served += a.end == KIT_ANSWERED && a.status == 200;
		other += a.end != KIT_CLOSED &&
		    !(a.end == KIT_ANSWERED && a.status == 200);
	}
	if (kit_vm_ended(&vm))
		kit_finish(KIT_CANNOT_RUN, "the machine ended by itself");
	kit_finish(lost > MAX_LOST ? KIT_BROKEN : KIT_HELD,
	    "LOST: %u of %u requests ran and their connection was closed "
	    "without an answer; %u closed without being run, %u served, %u "
	    "other",
	    lost, N_REQUESTS, unsent, served, other);
}
