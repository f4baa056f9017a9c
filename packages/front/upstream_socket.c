#include "front/upstream_socket.h"

#include <arpa/inet.h>
#include <errno.h>
#include <stdlib.h>
#include <sys/socket.h>

void
upstream_socket_init(struct upstream_socket *s)
{
	s->by_address =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
	s->by_fd = g_hash_table_new_full(NULL, NULL, NULL, g_free);
}

void
upstream_socket_finish(struct upstream_socket *s)
{
	g_hash_table_unref(s->by_address);
	g_hash_table_unref(s->by_fd);
}

static gint64
key_of(const char *remote_ip, int remote_port, int local_port)
{
	struct in_addr a = {0};

	inet_pton(AF_INET, remote_ip, &a);
	return ((gint64)(((uint64_t)a.s_addr << 32) |
	    ((uint64_t)(uint16_t)remote_port << 16) | (uint16_t)local_port));
}

static void
add_socket(struct upstream_socket *s, int fd, gint64 key)
{
	upstream_socket_closed(s, fd);
	g_hash_table_insert(
	    s->by_address, g_memdup2(&key, sizeof(key)), GINT_TO_POINTER(fd));
	g_hash_table_insert(
	    s->by_fd, GINT_TO_POINTER(fd), g_memdup2(&key, sizeof(key)));
}

bool
upstream_socket_is_clean(struct upstream_socket *s, int fd,
    const char *remote_ip, int remote_port, int local_port)
{
	gint64 key = key_of(remote_ip, remote_port, local_port);
	gpointer found;
	char ch;

	if (fd >= 0)
		add_socket(s, fd, key);
	else if (g_hash_table_lookup_extended(
		     s->by_address, &key, NULL, &found))
		fd = GPOINTER_TO_INT(found);
	else
		return (false);
	return (recv(fd, &ch, 1, MSG_PEEK | MSG_DONTWAIT) < 0 &&
	    (errno == EAGAIN || errno == EWOULDBLOCK));
}

void
upstream_socket_closed(struct upstream_socket *s, int fd)
{
	const gint64 *key = g_hash_table_lookup(s->by_fd, GINT_TO_POINTER(fd));
	gpointer found;

	if (key == NULL)
		return;
	/* The addresses may already belong to a newer socket. */
	if (g_hash_table_lookup_extended(s->by_address, key, NULL, &found) &&
	    GPOINTER_TO_INT(found) == fd)
		g_hash_table_remove(s->by_address, key);
	g_hash_table_remove(s->by_fd, GINT_TO_POINTER(fd));
}
