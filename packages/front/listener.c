#include "front/listener.h"

#include <arpa/inet.h>
#include <errno.h>
#include <linux/filter.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#define BACKLOG 1024
#define TCP_FLAGS_OFFSET 13
#define TCP_FLAG_SYN 0x02
#define KEEP_PACKET 0xffffffff

int
listener_open(const char *addr, uint16_t port)
{
	struct sockaddr_in sin = {
	    .sin_family = AF_INET, .sin_port = htons(port)};
	const int one = 1;
	int fd;

	if (inet_pton(AF_INET, addr, &sin.sin_addr) != 1) {
		errno = EINVAL;
		return (-1);
	}
	fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (fd < 0)
		return (-1);
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	setsockopt(fd, SOL_SOCKET, SO_REUSEPORT, &one, sizeof(one));
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	if (bind(fd, (struct sockaddr *)&sin, sizeof(sin)) != 0 ||
	    listen(fd, BACKLOG) != 0) {
		int saved = errno;

		close(fd);
		errno = saved;
		return (-1);
	}
	return (fd);
}

/* The filter of a listening socket gets packets starting at the TCP header. */
int
listener_ignore_new(int fd)
{
	struct sock_filter code[] = {
	    BPF_STMT(BPF_LD | BPF_B | BPF_ABS, TCP_FLAGS_OFFSET),
	    BPF_JUMP(BPF_JMP | BPF_JSET | BPF_K, TCP_FLAG_SYN, 0, 1),
	    BPF_STMT(BPF_RET | BPF_K, 0),
	    BPF_STMT(BPF_RET | BPF_K, KEEP_PACKET),
	};
	struct sock_fprog prog = {
	    .len = sizeof(code) / sizeof(code[0]), .filter = code};

	return (
	    setsockopt(fd, SOL_SOCKET, SO_ATTACH_FILTER, &prog, sizeof(prog)));
}

bool
listener_has_waiting(int fd)
{
	struct pollfd p = {.fd = fd, .events = POLLIN};

	return (poll(&p, 1, 0) == 1 && (p.revents & POLLIN) != 0);
}
