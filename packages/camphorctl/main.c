/*
 * camphorctl - command-line client of the operator API of a load balancer VM.
 *
 *	camphorctl --ops 127.0.0.1:8001 --token TOKEN status
 */
#include <getopt.h>
#include <jansson.h>
#include <ne_request.h>
#include <ne_session.h>
#include <ne_socket.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "base/byte_string.h"

#define READ_TIMEOUT_S 20
#define CONNECT_TIMEOUT_S 3
#define POLL_INTERVAL_MS 250
#define MAX_PATH_LEN 512

/** enum exit_code - exit codes, part of the command-line interface */
enum exit_code {
	EX_OK = 0,
	EX_FAILED = 1,
	EX_USAGE = 2,
	EX_REFUSED = 3,
	EX_PENDING = 4,
	EX_UNREACHABLE = 5,
	EX_ROLLED_BACK = 6,
	EX_STUCK = 7,
};

/**
 * struct client - options and HTTP session of one run
 * @addr: ops address of a VM, "ip:port"
 * @token: operator token
 * @json: print JSON
 * @format: report format
 * @wait_s: maximum time in seconds to follow a confirmed intent, 0 to return
 *	at once
 * @due_s: seconds from now until a move must be done
 * @version: for confirm the version of the plan, 0 for the current one; for set
 *	the version of the configuration object to replace
 * @session: HTTP session
 */
struct client {
	const char *addr;
	const char *token;
	bool json;
	const char *format;
	long wait_s;
	long due_s;
	long long version;
	ne_session *session;
};

/**
 * struct command - one subcommand
 * @name: name on the command line
 * @min_args: minimum number of arguments
 * @max_args: maximum number of arguments
 * @run: sends the requests and prints the result
 * @args: argument names for the usage text
 * @help: description for the usage text
 */
struct command {
	const char *name;
	int min_args;
	int max_args;
	enum exit_code (*run)(struct client *c, int argc, char **argv);
	const char *args;
	const char *help;
};

static const char usage_head[] =
    "usage: camphorctl [options] COMMAND [arguments]\n"
    "\n"
    "Talks to the operator API of one load balancer VM; any VM can be used.\n"
    "\n"
    "commands:\n";

static const char usage_tail[] =
    "\n"
    "kinds of intents for declare:\n"
    "  drain-zone ZONE                    send no new calls to the zone\n"
    "  return-zone ZONE                   return the zone to service\n"
    "  drain-upstream SERVICE UPSTREAM    send no new calls to one upstream\n"
    "  return-upstream SERVICE UPSTREAM   return the upstream to service\n"
    "  set-capacity SERVICE SLOTS         slots of each upstream\n"
    "  move-version SERVICE VERSION       move traffic, needs --due-s\n"
    "\n"
    "options:\n"
    "  --ops ADDR:PORT   operator address (or CAMPHOR_OPS)\n"
    "  --token TOKEN     operator token (or CAMPHOR_TOKEN)\n"
    "  --json            print JSON\n"
    "  --format F        report format: text, json or html\n"
    "  --wait S          follow the intent for at most S seconds\n"
    "  --due-s S         seconds from now until a move must be done\n"
    "  --version N       confirm or replace only this version\n"
    "  --help            show this text\n"
    "\n"
    "exit codes:\n"
    "  0 done or accepted      4 stored, not yet accepted, or still running\n"
    "  1 failed                5 the VM cannot be reached\n"
    "  2 wrong usage           6 the intent was rolled back\n"
    "  3 refused or conflict   7 the intent is stuck\n";

static int
on_response_data(void *arg, const char *data, size_t n)
{
	bbuf_add(arg, (struct bstr){data, n});
	return (0);
}

/*
 * Sends one request and appends the response body to @answer. Returns the HTTP
 * status, or 0 when there was no response.
 */
static int
send_request(struct client *c, const char *method, const char *path,
    const json_t *body, struct bbuf *answer)
{
	char target[MAX_PATH_LEN];
	char *text = body == NULL ? NULL : json_dumps(body, JSON_COMPACT);
	ne_request *r;
	int status = 0;

	snprintf(target, sizeof(target), "/v1/%s", path);
	r = ne_request_create(c->session, method, target);
	ne_print_request_header(r, "Authorization", "Bearer %s", c->token);
	if (strcmp(method, "GET") != 0)
		ne_set_request_flag(r, NE_REQFLAG_IDEMPOTENT, 0);
	if (text != NULL)
		ne_set_request_body_buffer(r, text, strlen(text));
	ne_add_response_body_reader(
	    r, ne_accept_always, on_response_data, answer);
	if (ne_request_dispatch(r) == NE_OK)
		status = ne_get_status(r)->code;
	else
		fprintf(stderr, "camphorctl: %s: %s\n", c->addr,
		    ne_get_error(c->session));
	ne_request_destroy(r);
	free(text);
	return (status);
}

static enum exit_code
exit_code_of_status(int status)
{
	if (status == 0)
		return (EX_UNREACHABLE);
	if (status == 200)
		return (EX_OK);
	if (status == 202)
		return (EX_PENDING);
	if (status == 403 || status == 404 || status == 409 || status == 422)
		return (EX_REFUSED);
	return (EX_FAILED);
}

static void
print_scalar(const json_t *v)
{
	char *text;

	if (json_is_string(v)) {
		printf("%s\n", json_string_value(v));
		return;
	}
	if (json_is_null(v)) {
		printf("no data\n");
		return;
	}
	text = json_dumps(v, JSON_ENCODE_ANY | JSON_REAL_PRECISION(6));
	printf("%s\n", text == NULL ? "" : text);
	free(text);
}

static void
print_tree(const json_t *v, int depth)
{
	const char *key;
	json_t *e;
	size_t i;

	if (json_is_object(v)) {
		json_object_foreach((json_t *)(uintptr_t)v, key, e)
		{
			printf("%*s%s:", depth * 2, "", key);
			printf(
			    json_is_object(e) || json_is_array(e) ? "\n" : " ");
			print_tree(e, depth + 1);
		}
	} else if (json_is_array(v)) {
		if (json_array_size(v) == 0)
			printf("%*s(none)\n", depth * 2, "");
		json_array_foreach(v, i, e)
		{
			printf("%*s- ", depth * 2, "");
			if (json_is_object(e) || json_is_array(e))
				printf("\n");
			print_tree(e, depth + 1);
		}
	} else {
		print_scalar(v);
	}
}

static void
print_answer(const struct client *c, const struct bbuf *answer, bool ok)
{
	FILE *out = ok ? stdout : stderr;
	json_t *v;

	if (answer->n == 0)
		return;
	v = json_loadb(answer->p, answer->n, JSON_DECODE_ANY, NULL);
	if (v == NULL || c->json)
		fprintf(out, "%.*s\n", (int)answer->n, answer->p);
	else if (!ok)
		fprintf(stderr, "camphorctl: %s: %s\n",
		    json_string_value(json_object_get(v, "error")),
		    json_string_value(json_object_get(v, "detail")));
	else
		print_tree(v, 0);
	json_decref(v);
}

static enum exit_code
send_and_print(
    struct client *c, const char *method, const char *path, const json_t *body)
{
	struct bbuf answer;
	enum exit_code rc;
	int status;

	bbuf_init(&answer);
	status = send_request(c, method, path, body, &answer);
	rc = exit_code_of_status(status);
	print_answer(c, &answer, rc == EX_OK || rc == EX_PENDING);
	bbuf_finish(&answer);
	return (rc);
}

static enum exit_code
cmd_status(struct client *c, int argc, char **argv)
{
	(void)argc;
	(void)argv;
	return (send_and_print(c, "GET", "status", NULL));
}

static enum exit_code
cmd_upstreams(struct client *c, int argc, char **argv)
{
	(void)argc;
	(void)argv;
	return (send_and_print(c, "GET", "upstreams", NULL));
}

static enum exit_code
cmd_list(struct client *c, int argc, char **argv)
{
	(void)argc;
	(void)argv;
	return (send_and_print(c, "GET", "intents", NULL));
}

static json_t *
intent_body(const struct client *c, int argc, char **argv)
{
	const char *kind = argv[0];
	long long due_ms = ((long long)time(NULL) + c->due_s) * 1000;

	if (argc == 2 &&
	    (strcmp(kind, "drain-zone") == 0 ||
		strcmp(kind, "return-zone") == 0))
		return (json_pack("{s:s,s:s}", "kind", kind, "zone", argv[1]));
	if (argc == 3 &&
	    (strcmp(kind, "drain-upstream") == 0 ||
		strcmp(kind, "return-upstream") == 0))
		return (json_pack("{s:s,s:s,s:s}", "kind", kind, "service",
		    argv[1], "upstream", argv[2]));
	if (argc == 3 && strcmp(kind, "set-capacity") == 0)
		return (json_pack("{s:s,s:s,s:I}", "kind", kind, "service",
		    argv[1], "slots", (json_int_t)atoll(argv[2])));
	if (argc == 3 && strcmp(kind, "move-version") == 0 && c->due_s > 0)
		return (json_pack("{s:s,s:s,s:s,s:I}", "kind", kind, "service",
		    argv[1], "version", argv[2], "due_ms", (json_int_t)due_ms));
	return (NULL);
}

static enum exit_code
cmd_declare(struct client *c, int argc, char **argv)
{
	json_t *body = intent_body(c, argc, argv);
	enum exit_code rc;

	if (body == NULL) {
		fprintf(stderr,
		    "camphorctl: declare: wrong arguments for %s, "
		    "see camphorctl --help\n",
		    argv[0]);
		return (EX_USAGE);
	}
	rc = send_and_print(c, "POST", "intents", body);
	json_decref(body);
	return (rc);
}

static enum exit_code
exit_code_of_state(const json_t *intent)
{
	const char *s = json_string_value(json_object_get(intent, "state"));

	if (s == NULL)
		return (EX_FAILED);
	if (strcmp(s, "done") == 0 || strcmp(s, "dropped") == 0)
		return (EX_OK);
	if (strcmp(s, "rolled_back") == 0)
		return (EX_ROLLED_BACK);
	if (strcmp(s, "refused") == 0)
		return (EX_REFUSED);
	if (json_is_true(json_object_get(intent, "stuck")))
		return (EX_STUCK);
	return (EX_PENDING);
}

static bool
is_final(enum exit_code rc)
{
	return (rc != EX_PENDING && rc != EX_STUCK);
}

/* Reads an intent and returns the exit code of its state. */
static enum exit_code
show_intent(struct client *c, const char *id, bool print)
{
	struct bbuf answer;
	char path[MAX_PATH_LEN];
	enum exit_code rc;
	json_t *v;
	int status;

	snprintf(path, sizeof(path), "intents/%s", id);
	bbuf_init(&answer);
	status = send_request(c, "GET", path, NULL, &answer);
	rc = exit_code_of_status(status);
	if (rc == EX_OK) {
		v = json_loadb(answer.p, answer.n, 0, NULL);
		rc = exit_code_of_state(v);
		json_decref(v);
	}
	if (print)
		print_answer(c, &answer, status == 200);
	bbuf_finish(&answer);
	return (rc);
}

static enum exit_code
cmd_show(struct client *c, int argc, char **argv)
{
	(void)argc;
	return (show_intent(c, argv[0], true));
}

/*
 * Polls an intent until it has ended, the VM cannot be reached or the wait time
 * is over, and then prints it.
 */
static enum exit_code
follow_intent(struct client *c, const char *id)
{
	const struct timespec pause = {.tv_nsec = POLL_INTERVAL_MS * 1000000L};
	time_t end = time(NULL) + c->wait_s;
	enum exit_code rc = show_intent(c, id, false);

	while (!is_final(rc) && rc != EX_UNREACHABLE && time(NULL) < end) {
		nanosleep(&pause, NULL);
		rc = show_intent(c, id, false);
	}
	return (show_intent(c, id, true));
}

static enum exit_code
cmd_confirm(struct client *c, int argc, char **argv)
{
	json_t *body = json_pack("{s:I}", "version", (json_int_t)c->version);
	char path[MAX_PATH_LEN];
	enum exit_code rc;

	(void)argc;
	snprintf(path, sizeof(path), "intents/%s/confirm", argv[0]);
	if (c->wait_s == 0) {
		rc = send_and_print(c, "POST", path, body);
	} else {
		struct bbuf answer;

		bbuf_init(&answer);
		rc = exit_code_of_status(
		    send_request(c, "POST", path, body, &answer));
		if (rc != EX_OK && rc != EX_PENDING)
			print_answer(c, &answer, false);
		else
			rc = follow_intent(c, argv[0]);
		bbuf_finish(&answer);
	}
	json_decref(body);
	return (rc);
}

static enum exit_code
cmd_drop(struct client *c, int argc, char **argv)
{
	char path[MAX_PATH_LEN];

	(void)argc;
	snprintf(path, sizeof(path), "intents/%s/drop", argv[0]);
	return (send_and_print(c, "POST", path, NULL));
}

static enum exit_code
cmd_report(struct client *c, int argc, char **argv)
{
	const char *format = c->json ? "json" : c->format;
	struct bbuf answer;
	char path[MAX_PATH_LEN];
	enum exit_code rc;

	(void)argc;
	(void)argv;
	snprintf(path, sizeof(path), "report?format=%s", format);
	bbuf_init(&answer);
	rc = exit_code_of_status(send_request(c, "GET", path, NULL, &answer));
	if (rc == EX_OK)
		fwrite(answer.p, 1, answer.n, stdout);
	else
		print_answer(c, &answer, false);
	bbuf_finish(&answer);
	return (rc);
}

static enum exit_code
cmd_get(struct client *c, int argc, char **argv)
{
	char path[MAX_PATH_LEN];

	(void)argc;
	snprintf(path, sizeof(path), "config/%s", argv[0]);
	return (send_and_print(c, "GET", path, NULL));
}

static enum exit_code
cmd_set(struct client *c, int argc, char **argv)
{
	json_error_t e;
	json_t *value = json_load_file(argv[1], JSON_REJECT_DUPLICATES, &e);
	char path[MAX_PATH_LEN];
	enum exit_code rc;
	json_t *body;

	(void)argc;
	if (value == NULL) {
		fprintf(stderr, "camphorctl: %s: line %d: %s\n", argv[1],
		    e.line, e.text);
		return (EX_USAGE);
	}
	body = json_pack(
	    "{s:o,s:I}", "value", value, "if_version", (json_int_t)c->version);
	snprintf(path, sizeof(path), "config/%s", argv[0]);
	rc = send_and_print(c, "PUT", path, body);
	json_decref(body);
	return (rc);
}

static const struct command commands[] = {
    {"status", 0, 0, cmd_status, "", "members, freshness and partitions"},
    {"upstreams", 0, 0, cmd_upstreams, "", "upstreams with state and load"},
    {"declare", 1, 3, cmd_declare, "KIND ARGS",
	"declare an intent and show its plan"},
    {"confirm", 1, 1, cmd_confirm, "ID",
	"confirm a plan so that it is carried out"},
    {"drop", 1, 1, cmd_drop, "ID", "drop an intent that is not confirmed"},
    {"show", 1, 1, cmd_show, "ID", "one intent with its plan and report"},
    {"list", 0, 0, cmd_list, "", "all intents"},
    {"report", 0, 0, cmd_report, "", "service-level burn report"},
    {"get", 1, 1, cmd_get, "KEY",
	"one configuration object, such as service/NAME"},
    {"set", 2, 2, cmd_set, "KEY FILE",
	"replace a configuration object of the version given by --version"},
};

#define N_COMMANDS (sizeof(commands) / sizeof(*commands))

static void
usage(FILE *out)
{
	fputs(usage_head, out);
	for (size_t i = 0; i < N_COMMANDS; i++)
		fprintf(out, "  %-9s %-10s %s\n", commands[i].name,
		    commands[i].args, commands[i].help);
	fputs(usage_tail, out);
}

static bool
open_session(struct client *c)
{
	const char *colon = c->addr == NULL ? NULL : strchr(c->addr, ':');
	uint64_t port;
	char *host;

	if (colon == NULL || !bstr_to_u64(bstr_from(colon + 1), &port) ||
	    port == 0 || port > UINT16_MAX) {
		fprintf(stderr, "camphorctl: --ops must be ADDR:PORT\n");
		return (false);
	}
	host = bstr_dup((struct bstr){c->addr, (size_t)(colon - c->addr)});
	ne_sock_init();
	c->session = ne_session_create("http", host, (unsigned)port);
	ne_set_connect_timeout(c->session, CONNECT_TIMEOUT_S);
	ne_set_read_timeout(c->session, READ_TIMEOUT_S);
	free(host);
	return (true);
}

static bool
parse_options(struct client *c, int argc, char **argv, enum exit_code *rc)
{
	static const struct option options[] = {
	    {"ops", required_argument, NULL, 'o'},
	    {"token", required_argument, NULL, 't'},
	    {"json", no_argument, NULL, 'j'},
	    {"format", required_argument, NULL, 'f'},
	    {"wait", required_argument, NULL, 'w'},
	    {"due-s", required_argument, NULL, 'd'},
	    {"version", required_argument, NULL, 'v'},
	    {"help", no_argument, NULL, 'h'},
	    {0},
	};
	int opt;

	while ((opt = getopt_long(argc, argv, "", options, NULL)) != -1) {
		switch (opt) {
		case 'o':
			c->addr = optarg;
			break;
		case 't':
			c->token = optarg;
			break;
		case 'j':
			c->json = true;
			break;
		case 'f':
			c->format = optarg;
			break;
		case 'w':
			c->wait_s = atol(optarg);
			break;
		case 'd':
			c->due_s = atol(optarg);
			break;
		case 'v':
			c->version = atoll(optarg);
			break;
		case 'h':
			usage(stdout);
			*rc = EX_OK;
			return (false);
		default:
			usage(stderr);
			*rc = EX_USAGE;
			return (false);
		}
	}
	return (true);
}

static const struct command *
find_command(const char *name)
{
	for (size_t i = 0; i < N_COMMANDS; i++) {
		if (strcmp(commands[i].name, name) == 0)
			return (&commands[i]);
	}
	return (NULL);
}

int
main(int argc, char **argv)
{
	struct client c = {
	    .addr = getenv("CAMPHOR_OPS"),
	    .token = getenv("CAMPHOR_TOKEN"),
	    .format = "text",
	};
	const struct command *cmd;
	enum exit_code rc;

	if (!parse_options(&c, argc, argv, &rc))
		return (rc);
	cmd = optind < argc ? find_command(argv[optind]) : NULL;
	argc -= optind + 1;
	argv += optind + 1;
	if (cmd == NULL || argc < cmd->min_args || argc > cmd->max_args) {
		usage(stderr);
		return (EX_USAGE);
	}
	if (c.token == NULL)
		c.token = "";
	if (!open_session(&c))
		return (EX_USAGE);
	rc = cmd->run(&c, argc, argv);
	ne_session_destroy(c.session);
	return (rc);
}
