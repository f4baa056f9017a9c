#include "soak/vm_process.h"

#include <fcntl.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include "soak/http_stream.h"
#include "soak/record.h"
#include "sys/clocks.h"

#define RESTART_US 500000
#define GRACE_US 6000000
#define READY_TIMEOUT_MS 900
/* Failed readiness checks in a row that take a VM out of rotation. */
#define MAX_MISSES 2

static void
write_settings(const struct vm_process *vm, uint16_t store_port)
{
	FILE *f = fopen(vm->settings, "w");

	if (f == NULL)
		abort();
	fprintf(f,
	    "{\"id\": \"vm%u\", \"zone\": \"a\",\n"
	    " \"listen\": {\"address\": \"%s:%u\"},\n"
	    " \"peer\": {\"addr\": \"%s\", \"port\": %u, \"link_mbps\": "
	    "1000},\n"
	    " \"ops\": {\"address\": \"%s:%u\","
	    " \"health_path\": \"/v1/readiness\"},\n"
	    " \"platform\": {\"address\": \"127.0.0.1:%u\","
	    " \"api\": \"objects\"},\n"
	    " \"workers\": 1, \"max_connections\": 12,"
	    " \"leave_notice_ms\": 2200, \"stop_within\": \"6s\",\n"
	    " \"retry\": {\"ratio\": 0.2, \"burst\": 60},"
	    " \"log\": {\"json\": true}}\n",
	    vm->index, vm->ip, vm->front, vm->ip, vm->peer, vm->ip, vm->ready,
	    store_port);
	fclose(f);
}

static uint16_t
free_port(const char *ip)
{
	uint16_t port = 0;

	close(stream_listen(ip, &port));
	return (port);
}

void
vmproc_init(struct vm_process *vm, unsigned index, const char *binary,
    const char *folder, uint16_t store_port)
{
	*vm = (struct vm_process){.index = index, .binary = binary};
	snprintf(vm->ip, sizeof(vm->ip), "127.0.%u.%u", 1 + index / 200,
	    1 + index % 200);
	snprintf(
	    vm->settings, sizeof(vm->settings), "%s/vm%u.json", folder, index);
	snprintf(vm->log, sizeof(vm->log), "%s/vm%u.log", folder, index);
	vm->front = free_port(vm->ip);
	vm->ready = free_port(vm->ip);
	vm->peer = free_port(vm->ip);
	write_settings(vm, store_port);
}

void
vmproc_start(struct vm_process *vm)
{
	vm->ending = false;
	vm->thaw_us = 0;
	vm->misses = 0;
	rec_on_restart(vm->index);
	vm->pid = fork();
	if (vm->pid == 0) {
		int fd = open(vm->log, O_WRONLY | O_CREAT | O_APPEND, 0600);

		prctl(PR_SET_PDEATHSIG, SIGKILL);
		dup2(fd, STDOUT_FILENO);
		dup2(fd, STDERR_FILENO);
		execl(vm->binary, vm->binary, "--settings", vm->settings,
		    (char *)NULL);
		_exit(127);
	}
}

static void
reap(struct vm_process *vm, int64_t now_us)
{
	int status;

	if (waitpid(vm->pid, &status, WNOHANG) != vm->pid)
		return;
	if (!vm->ending || (WIFEXITED(status) && WEXITSTATUS(status) != 0)) {
		printf("ENDED: vm%u with wait status %#x\n", vm->index,
		    (unsigned)status);
		vm->ends++;
	}
	vm->pid = 0;
	vm->start_us = now_us + RESTART_US;
}

void
vmproc_tick(struct vm_process *vm, int64_t now_us)
{
	if (vm->pid != 0)
		reap(vm, now_us);
	if (vm->pid == 0 && now_us >= vm->start_us)
		vmproc_start(vm);
	if (vm->thaw_us != 0 && now_us >= vm->thaw_us) {
		vm->thaw_us = 0;
		rec_on_restart(vm->index);
		if (vm->pid != 0)
			kill(vm->pid, SIGCONT);
	}
}

void
vmproc_check_ready(struct vm_process *vm)
{
	int fd = stream_connect(vm->ip, vm->ready, 0);
	struct http_stream s;
	struct http_head h;
	bool ok = false;

	if (fd >= 0) {
		stream_init(&s, fd, READY_TIMEOUT_MS);
		ok = stream_printf(&s,
			 "GET /v1/readiness HTTP/1.1\r\nHost: x\r\n"
			 "Connection: close\r\n\r\n") &&
		    stream_read_head(&s, &h) && h.status == 200;
		stream_close(&s);
	}
	vm->misses = ok ? 0 : vm->misses + 1;
	if (ok || vm->misses >= MAX_MISSES)
		atomic_store(&vm->in_rotation, ok);
}

void
vmproc_stop(struct vm_process *vm, int64_t now_us)
{
	if (vm->pid == 0)
		return;
	if (!vm->ending)
		rec_on_disturbance(
		    vm->index, REC_STOPPED, now_us, now_us + GRACE_US);
	vm->ending = true;
	kill(vm->pid, SIGTERM);
}

void
vmproc_kill(struct vm_process *vm, int64_t now_us)
{
	if (vm->pid == 0)
		return;
	rec_on_disturbance(vm->index, REC_KILLED, now_us, now_us + RESTART_US);
	vm->ending = true;
	kill(vm->pid, SIGKILL);
}

void
vmproc_freeze(struct vm_process *vm, int64_t us, int64_t now_us)
{
	if (vm->pid == 0 || vm->thaw_us != 0)
		return;
	rec_on_disturbance(vm->index, REC_FROZEN, now_us, now_us + us);
	vm->thaw_us = now_us + us;
	kill(vm->pid, SIGSTOP);
}

void
vmproc_reload(struct vm_process *vm)
{
	if (vm->pid != 0)
		kill(vm->pid, SIGHUP);
}

void
vmproc_finish(struct vm_process *vm)
{
	if (vm->pid == 0)
		return;
	kill(vm->pid, SIGCONT);
	kill(vm->pid, SIGKILL);
	waitpid(vm->pid, NULL, 0);
	vm->pid = 0;
}
