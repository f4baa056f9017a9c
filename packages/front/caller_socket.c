#include "front/caller_socket.h"

#include <errno.h>
#include <linux/sockios.h>
#include <linux/tcp.h>
#include <netinet/in.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <sys/types.h>

#define DISCARD_BLOCK 4096
/* Limit on reads of one call of callersock_discard(). */
#define DISCARD_READS 16

static bool
tcp_info(int fd, struct tcp_info *info)
{
	socklen_t len = sizeof(*info);

	*info = (struct tcp_info){0};
	return (getsockopt(fd, IPPROTO_TCP, TCP_INFO, info, &len) == 0);
}

bool
callersock_is_open(int fd)
{
	char ch;
	ssize_t n = recv(fd, &ch, 1, MSG_PEEK | MSG_DONTWAIT);

	return (n > 0 || (n < 0 && errno == EAGAIN));
}

bool
callersock_taken_bytes(int fd, uint64_t *bytes)
{
	struct tcp_info info;
	int unread = 0;

	if (!tcp_info(fd, &info) || ioctl(fd, SIOCINQ, &unread) != 0)
		return (false);
	/* Some systems leave the field empty. */
	if (info.tcpi_bytes_received == 0)
		return (false);
	*bytes = info.tcpi_bytes_received - (uint64_t)unread;
	return (true);
}

bool
callersock_sending(int fd, struct callersock_sending *out)
{
	struct tcp_info info;

	if (!tcp_info(fd, &info))
		return (false);
	out->acked = info.tcpi_bytes_acked;
	out->waiting = info.tcpi_notsent_bytes != 0;
	return (true);
}

bool
callersock_discard(int fd)
{
	char block[DISCARD_BLOCK];
	ssize_t n = 1;

	for (int i = 0; i < DISCARD_READS && n > 0; i++)
		n = recv(fd, block, sizeof(block), MSG_DONTWAIT);
	return (n > 0 || (n < 0 && (errno == EAGAIN || errno == EINTR)));
}

void
callersock_reset(int fd)
{
	const struct linger reset = {.l_onoff = 1};

	setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
	shutdown(fd, SHUT_RDWR);
}
