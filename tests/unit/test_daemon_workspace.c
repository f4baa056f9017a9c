/*
 * Keys of workspaces on real VMs: two daemons between raw HTTP clients and an
 * upstream stand-in, with a fake store of objects.
 */
#include "lib/rig.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <libgen.h>
#include <sys/prctl.h>

#include "lib/object_store.h"

#define N_VMS 2
#define PATH_MAX_BYTES 640
#define MAX_LOG_BYTES (4 * 1024 * 1024)
/* Far above what any wait needs, so that a slow machine causes no failure. */
#define WAIT_LIMIT_MS 30000
#define POLL_US 5000
#define HOST "a.example"
#define FIRST_ADDR 0x7f400000u /* 127.64.0.0 */
#define ADDR_MASK 0x3fffffu
#define N_KEYS 100000
#define LAST_KEY "key-0000000000000000000000000000000000099999"

/**
 * struct vm - a daemon process
 * @front: port for callers
 * @ops: port of health and metrics
 * @pid: process id, 0 while it is down
 */
struct vm {
	uint16_t front, ops, peer;
	pid_t pid;
};

static struct vm vms[N_VMS];
static struct object_store *store;
static char folder[] = "/tmp/camphor-workspace-XXXXXX";
static int config_version;

static uint16_t
free_port(void)
{
	struct sockaddr_in sin = {
	    .sin_family = AF_INET, .sin_addr = {htonl(rig.addr)}};
	socklen_t len = sizeof(sin);
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	assert_int_equal(bind(fd, (struct sockaddr *)&sin, len), 0);
	getsockname(fd, (struct sockaddr *)&sin, &len);
	close(fd);
	return (ntohs(sin.sin_port));
}

static void
file_of(char out[PATH_MAX_BYTES], unsigned i, const char *kind)
{
	snprintf(out, PATH_MAX_BYTES, "%s/vm%u.%s", folder, i, kind);
}

static void
write_settings(unsigned i)
{
	const struct vm *vm = &vms[i];
	char path[PATH_MAX_BYTES], ip[INET_ADDRSTRLEN];
	struct in_addr addr = {htonl(rig.addr)};
	FILE *f;

	inet_ntop(AF_INET, &addr, ip, sizeof(ip));
	file_of(path, i, "json");
	f = fopen(path, "w");
	assert_non_null(f);
	fprintf(f,
	    "{\"id\": \"vm%u\", \"zone\": \"a\","
	    " \"listen\": {\"addr\": \"%s\", \"port\": %u},"
	    " \"peer\": {\"addr\": \"%s\", \"port\": %u},"
	    " \"ops\": {\"addr\": \"%s\", \"port\": %u,"
	    " \"health_path\": \"/health\"},"
	    " \"platform\": {\"addr\": \"127.0.0.1\", \"port\": %u,"
	    " \"api\": \"objects\"}, \"workers\": 1, \"leave_notice_ms\": 0,"
	    " \"retry\": {\"ratio\": 0.2, \"burst\": 60},"
	    " \"log\": {\"json\": true, \"debug\": true}}\n",
	    i, ip, vm->front, ip, vm->peer, ip, vm->ops,
	    object_store_port(store));
	fclose(f);
}

static void
start_vm(unsigned i)
{
	char exe[512], binary[PATH_MAX_BYTES], settings[PATH_MAX_BYTES];
	char log[PATH_MAX_BYTES];
	ssize_t n = readlink("/proc/self/exe", exe, sizeof(exe) - 1);

	assert_true(n > 0);
	exe[n] = '\0';
	snprintf(binary, sizeof(binary), "%s/../camphorhollowd", dirname(exe));
	file_of(settings, i, "json");
	file_of(log, i, "log");
	vms[i].pid = fork();
	if (vms[i].pid == 0) {
		int fd = open(log, O_WRONLY | O_CREAT | O_APPEND, 0600);

		prctl(PR_SET_PDEATHSIG, SIGKILL);
		dup2(fd, STDOUT_FILENO);
		dup2(fd, STDERR_FILENO);
		execl(binary, binary, "--settings", settings, (char *)NULL);
		_exit(127);
	}
}

static void
kill_vm(unsigned i)
{
	if (vms[i].pid == 0)
		return;
	kill(vms[i].pid, SIGKILL);
	waitpid(vms[i].pid, NULL, 0);
	vms[i].pid = 0;
}

/* Writes a configuration with the members "tenants" as in @tenants. */
static void
put_config(const char *tenants)
{
	struct bbuf text;

	bbuf_init(&text);
	bbuf_addf(&text,
	    "{\"version\":%d,\"routes\":{"
	    "\"r1\":{\"host\":\"" HOST "\",\"pathPrefix\":\"/i/\","
	    "\"kind\":\"safe\",\"service\":\"s\",\"attempts\":2},"
	    "\"r2\":{\"host\":\"" HOST "\",\"pathPrefix\":\"/p/\","
	    "\"kind\":\"unsafe\",\"service\":\"s\"},"
	    "\"r3\":{\"host\":\"" HOST "\",\"pathPrefix\":\"/open/\","
	    "\"kind\":\"safe\",\"service\":\"s\",\"public\":true}},"
	    "\"services\":{\"s\":{}},\"limits\":{}%s%s}",
	    ++config_version, tenants == NULL ? "" : ",\"tenants\":",
	    tenants == NULL ? "" : tenants);
	object_store_put(store, "config", "main", text.p);
	bbuf_finish(&text);
}

static void
put_upstream(void)
{
	char text[512];

	snprintf(text, sizeof(text),
	    "{\"service\":\"s\",\"address\":\"127.0.0.1:%u\",\"zone\":\"a\","
	    "\"version\":\"v1\",\"slots\":6,\"state\":\"ready\","
	    "\"warmupLeft\":\"0ms\",\"sequence\":1,\"born\":1}",
	    rig.upstream_port);
	object_store_put(store, "servers", "u1", text);
}

/* Sends a request to a VM; @key may be NULL. */
static struct reply
call_vm(unsigned i, const char *method, const char *path, const char *key)
{
	char fields[256] = "X-Tenant: forged\r\nx_tenant: forged\r\n";
	size_t n = strlen(fields);

	if (key != NULL)
		snprintf(fields + n, sizeof(fields) - n,
		    "Authorization: Bearer %s\r\n", key);
	rig.port = vms[i].front;
	return (rig_call(method, HOST, path, fields,
	    strcmp(method, "POST") == 0 ? "body" : NULL));
}

static bool
is_listening(unsigned i)
{
	struct sockaddr_in sin = {.sin_family = AF_INET,
	    .sin_port = htons(vms[i].front),
	    .sin_addr = {htonl(rig.addr)}};
	int fd = socket(AF_INET, SOCK_STREAM, 0);
	bool ok = connect(fd, (struct sockaddr *)&sin, sizeof(sin)) == 0;

	close(fd);
	return (ok);
}

/* Waits until a VM that was started accepts connections. */
static void
wait_listening(unsigned i)
{
	int64_t end_ms = clk_mono_ms() + WAIT_LIMIT_MS;

	while (!is_listening(i)) {
		assert_true(clk_mono_ms() < end_ms);
		usleep(POLL_US);
	}
}

static unsigned
status_of(unsigned i, const char *method, const char *path, const char *key)
{
	struct reply r = call_vm(i, method, path, key);
	unsigned status = r.status;

	rig_reply_free(&r);
	return (status);
}

/* Returns the time in milliseconds until a VM answers with a status. */
static int64_t
wait_status(unsigned i, const char *key, unsigned status)
{
	int64_t begin_ms = clk_mono_ms();
	unsigned seen;

	while ((seen = status_of(i, "GET", "/i/ok/wait", key)) != status) {
		if (clk_mono_ms() - begin_ms > WAIT_LIMIT_MS)
			fail_msg("vm%u: %u in place of %u", i, seen, status);
		usleep(POLL_US);
	}
	return (clk_mono_ms() - begin_ms);
}

/* The upstream got the name of the workspace and no credential. */
static void
expect_workspace(unsigned i, const char *method, const char *path,
    const char *key, const char *workspace)
{
	struct reply r = call_vm(i, method, path, key);
	char line[64];

	if (r.status != 200)
		fail_msg("vm%u: expected 200, got %.300s", i, r.p);
	snprintf(line, sizeof(line), "\r\nX-Tenant: %s\r\n", workspace);
	assert_true((strstr(r.body, line) != NULL) == (workspace[0] != '\0'));
	assert_null(strcasestr(r.body, "forged"));
	assert_null(strcasestr(r.body, "Authorization"));
	rig_reply_free(&r);
}

/* Guards against 401 from a VM that does not know any configuration yet. */
static void
test_no_configuration(void **state)
{
	(void)state;
	start_vm(0);
	wait_listening(0);
	for (int k = 0; k < 20; k++) {
		assert_int_equal(
		    status_of(0, "GET", "/i/ok/early", "key-one"), 503);
		assert_int_equal(status_of(0, "GET", "/i/ok/early", NULL), 503);
		assert_int_equal(
		    status_of(0, "GET", "/open/ok/early", NULL), 503);
	}
	assert_int_equal(rig_request_count("/i/ok/early"), 0);
}

/* Guards against a change for deployments without workspaces. */
static void
test_without_workspaces(void **state)
{
	struct reply r;

	(void)state;
	put_upstream();
	put_config(NULL);
	wait_status(0, NULL, 200);
	r = call_vm(0, "GET", "/i/echohead/plain", "key-one");
	assert_int_equal(r.status, 200);
	assert_true(rig_body_contains(&r, "Authorization: Bearer key-one\r\n"));
	assert_true(rig_body_contains(&r, "X-Tenant: forged\r\n"));
	rig_reply_free(&r);
}

/* Guards against a VM that serves a request without a key, or refuses one. */
static void
test_keys(void **state)
{
	(void)state;
	start_vm(1);
	wait_listening(1);
	put_config("{\"wb\":{\"apiKeys\":[\"key-two\",\"key-both\"]},"
		   "\"wa\":{\"apiKeys\":[\"key-one\",\"key-both\"]}}");
	for (unsigned i = 0; i < N_VMS; i++) {
		wait_status(i, "key-one", 200);
		wait_status(i, NULL, 401);
		expect_workspace(i, "GET", "/i/echohead/1", "key-one", "wa");
		expect_workspace(i, "POST", "/p/echohead/1", "key-two", "wb");
		expect_workspace(i, "GET", "/i/echohead/1", "key-both", "wa");
		expect_workspace(i, "GET", "/open/echohead/1", NULL, "");
		expect_workspace(i, "GET", "/open/echohead/1", "key-bad", "");
		expect_workspace(i, "GET", "/open/echohead/1", "key-two", "wb");
		rig_expect_error(call_vm(i, "POST", "/p/ok/none", NULL), 401,
		    "unauthorized", "not-run");
		rig_expect_error(call_vm(i, "GET", "/i/ok/none", "key-bad"),
		    401, "unauthorized", "not-run");
	}
	assert_int_equal(rig_request_count("/p/ok/none"), 0);
	assert_int_equal(rig_request_count("/i/ok/none"), 0);
}

/* Log of a VM, freed with free(). */
static char *
read_log(unsigned i)
{
	char *text = malloc(MAX_LOG_BYTES + 1);
	char path[PATH_MAX_BYTES];
	size_t n;
	FILE *f;

	file_of(path, i, "log");
	f = fopen(path, "r");
	assert_non_null(f);
	n = fread(text, 1, MAX_LOG_BYTES, f);
	fclose(f);
	assert_in_range(n, 1, MAX_LOG_BYTES - 1);
	text[n] = '\0';
	return (text);
}

static void
wait_log(unsigned i, const char *line)
{
	int64_t end_ms = clk_mono_ms() + WAIT_LIMIT_MS;
	bool found = false;

	while (!found) {
		char *text = read_log(i);

		assert_true(clk_mono_ms() < end_ms);
		found = strstr(text, line) != NULL;
		free(text);
		usleep(POLL_US);
	}
}

#define KEPT                                                                   \
	"GET /i/ok/kept HTTP/1.1\r\nHost: " HOST                               \
	"\r\nAuthorization: Bearer key-one\r\n\r\n"

static unsigned
exchange(int fd)
{
	struct reply r = rig_exchange(fd, KEPT);
	unsigned status = r.status;

	rig_reply_free(&r);
	return (status);
}

/*
 * Guards against a withdrawn key that stays valid on a connection that is open,
 * and a malformed configuration that is used in part. The time is printed and
 * not judged, because the machine is shared.
 */
static void
test_withdrawn(void **state)
{
	int64_t begin_ms;
	int fds[N_VMS];

	(void)state;
	for (unsigned i = 0; i < N_VMS; i++) {
		rig.port = vms[i].front;
		fds[i] = rig_open("", 0);
		assert_int_equal(exchange(fds[i]), 200);
	}
	put_config("{\"wa\":{\"apiKeys\":[\"key-bad\"],\"priority\":-1}}");
	for (unsigned i = 0; i < N_VMS; i++)
		wait_log(i, "a tenant is invalid");
	begin_ms = clk_mono_ms();
	put_config("{\"wa\":{\"apiKeys\":[\"key-new\"]},"
		   "\"wb\":{\"apiKeys\":[\"key-two\"]}}");
	for (unsigned i = 0; i < N_VMS; i++) {
		while (exchange(fds[i]) == 200) {
			assert_true(clk_mono_ms() - begin_ms < WAIT_LIMIT_MS);
			usleep(POLL_US);
		}
		print_message("vm%u: withdrawn after %lld ms\n", i,
		    (long long)(clk_mono_ms() - begin_ms));
		assert_int_equal(exchange(fds[i]), 401);
		expect_workspace(i, "GET", "/i/echohead/2", "key-new", "wa");
		assert_int_equal(
		    status_of(i, "GET", "/i/ok/none", "key-bad"), 401);
		close(fds[i]);
	}
}

/*
 * Guards against a withdrawn key that becomes valid again: after a restart, by
 * lists that may be stale, or by another VM that has lagged behind.
 */
static void
test_not_valid_again(void **state)
{
	unsigned seen;

	(void)state;
	kill(vms[1].pid, SIGSTOP);
	object_store_set_faults(
	    store, &(struct object_store_faults){.stale_lists = true});
	put_config("{\"wb\":{\"apiKeys\":[\"key-two\"]}}");
	wait_status(0, "key-new", 401);
	kill_vm(0);
	start_vm(0);
	wait_listening(0);
	kill(vms[1].pid, SIGCONT);
	while ((seen = status_of(0, "GET", "/i/ok/again", "key-two")) != 200) {
		/* No configuration yet. */
		assert_int_equal(seen, 503);
		seen = status_of(0, "GET", "/i/ok/again", "key-new");
		assert_true(seen == 503 || seen == 401);
		usleep(POLL_US);
	}
	wait_status(1, "key-new", 401);
	for (int k = 0; k < 200; k++) {
		assert_int_equal(
		    status_of(0, "GET", "/i/ok/again", "key-new"), 401);
		assert_int_equal(
		    status_of(1, "GET", "/i/ok/again", "key-new"), 401);
		usleep(POLL_US);
	}
	object_store_set_faults(store, &(struct object_store_faults){0});
}

/* Guards against keys that are lost while the store does not answer. */
static void
test_outage(void **state)
{
	(void)state;
	object_store_set_faults(
	    store, &(struct object_store_faults){.status = 503});
	for (int k = 0; k < 100; k++) {
		expect_workspace(
		    (unsigned)k % 2, "GET", "/i/echohead/3", "key-two", "wb");
		assert_int_equal(
		    status_of((unsigned)k % 2, "GET", "/i/ok/none", "key-one"),
		    401);
		usleep(POLL_US);
	}
	object_store_set_faults(store, &(struct object_store_faults){0});
}

/*
 * Guards against a size of the configuration that a VM does not read. The time
 * is printed and not judged.
 */
static void
test_many_keys(void **state)
{
	int64_t begin_ms;
	struct bbuf text;

	(void)state;
	bbuf_init(&text);
	bbuf_add(&text, BSTR("{\"wa\":{\"apiKeys\":["));
	for (int i = 0; i < N_KEYS; i++)
		bbuf_addf(&text, "%s\"key-%040d\"", i == 0 ? "" : ",", i);
	bbuf_add(&text, BSTR("]},\"wb\":{\"apiKeys\":[\"key-two\"]}}"));
	put_config(text.p);
	bbuf_finish(&text);
	begin_ms = clk_mono_ms();
	for (unsigned i = 0; i < N_VMS; i++) {
		wait_status(i, LAST_KEY, 200);
		print_message("vm%u: %d keys in effect after %lld ms\n", i,
		    N_KEYS, (long long)(clk_mono_ms() - begin_ms));
	}
	put_config("{\"wb\":{\"apiKeys\":[\"key-two\"]}}");
	for (unsigned i = 0; i < N_VMS; i++)
		wait_status(i, LAST_KEY, 401);
}

/* Guards against a key in a metric, and against a wrong number. */
static void
test_metrics(void **state)
{
	struct reply r;

	(void)state;
	rig.port = vms[0].ops;
	r = rig_call("GET", "x", "/metrics", "", NULL);
	assert_int_equal(r.status, 200);
	assert_true(rig_body_contains(&r, "camphorhollow_workspaces 1\n"));
	assert_true(rig_body_contains(
	    &r, "camphorhollow_calls_with_unknown_key_total "));
	assert_true(rig_body_contains(
	    &r, "camphorhollow_errors_total{kind=\"unauthorized\"} "));
	assert_null(strstr(r.p, "key-"));
	rig_reply_free(&r);
}

/* Guards against a key in any line that a VM has logged, debug lines too. */
static void
test_log(void **state)
{
	(void)state;
	for (unsigned i = 0; i < N_VMS; i++) {
		char *text = read_log(i);

		assert_non_null(strstr(text, "\"unauthorized\""));
		assert_null(strstr(text, "key-"));
		assert_null(strstr(text, "Bearer"));
		free(text);
	}
}

static int
setup(void **state)
{
	(void)state;
	signal(SIGPIPE, SIG_IGN);
	/*
	 * Connections of other processes, which come from 127.0.0.1, cannot
	 * take a port of this address while a VM is down.
	 */
	rig.addr = FIRST_ADDR | ((uint32_t)getpid() & ADDR_MASK);
	assert_non_null(mkdtemp(folder));
	store = object_store_new(&(struct object_store_desc){0});
	assert_non_null(store);
	rig_start_upstream();
	for (unsigned i = 0; i < N_VMS; i++) {
		vms[i].front = free_port();
		vms[i].ops = free_port();
		vms[i].peer = free_port();
		write_settings(i);
	}
	return (0);
}

static int
teardown(void **state)
{
	static const char *const kinds[] = {"json", "log"};

	(void)state;
	for (unsigned i = 0; i < N_VMS; i++) {
		kill_vm(i);
		for (int k = 0; k < 2; k++) {
			char path[PATH_MAX_BYTES];

			file_of(path, i, kinds[k]);
			unlink(path);
		}
	}
	rmdir(folder);
	kill(rig.upstream, SIGKILL);
	waitpid(rig.upstream, NULL, 0);
	object_store_free(store);
	return (0);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_no_configuration),
	    cmocka_unit_test(test_without_workspaces),
	    cmocka_unit_test(test_keys),
	    cmocka_unit_test(test_withdrawn),
	    cmocka_unit_test(test_not_valid_again),
	    cmocka_unit_test(test_outage),
	    cmocka_unit_test(test_many_keys),
	    cmocka_unit_test(test_metrics),
	    cmocka_unit_test(test_log),
	};

	return (cmocka_run_group_tests(tests, setup, teardown));
}
