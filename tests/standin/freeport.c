/*
 * freeport - prints N free TCP ports on loopback, chosen by the kernel.
 *
 * Usage: freeport [N]
 */
#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/socket.h>

int
main(int argc, char **argv)
{
	int n = argc > 1 ? atoi(argv[1]) : 1;

	/* All sockets stay open until the end, so that the ports differ. */
	for (int i = 0; i < n; i++) {
		struct sockaddr_in sin = {.sin_family = AF_INET,
		    .sin_addr = {htonl(INADDR_LOOPBACK)}};
		socklen_t len = sizeof(sin);
		int fd = socket(AF_INET, SOCK_STREAM, 0);

		if (bind(fd, (struct sockaddr *)&sin, sizeof(sin)) != 0 ||
		    getsockname(fd, (struct sockaddr *)&sin, &len) != 0)
			return (1);
		printf("%s%u", i == 0 ? "" : " ", ntohs(sin.sin_port));
	}
	printf("\n");
	return (0);
}
