#include "lib/capture.h"

#include <fcntl.h>
#include <stdio.h>
#include <stdlib.h>
#include <unistd.h>

#include "base/byte_string.h"

void
capture_begin(struct capture *c)
{
	int p[2];

	fflush(stdout);
	if (pipe(p) != 0 || fcntl(p[0], F_SETFL, O_NONBLOCK) != 0)
		abort();
	c->saved = dup(STDOUT_FILENO);
	c->read_fd = p[0];
	dup2(p[1], STDOUT_FILENO);
	close(p[1]);
}

char *
capture_take(const struct capture *c)
{
	struct bbuf text;
	char buf[4096];
	char *copy;
	ssize_t n;

	bbuf_init(&text);
	while ((n = read(c->read_fd, buf, sizeof(buf))) > 0)
		bbuf_add(&text, (struct bstr){buf, (size_t)n});
	copy = bstr_dup(bbuf_str(&text));
	bbuf_finish(&text);
	return (copy);
}

char *
capture_end(struct capture *c)
{
	char *text = capture_take(c);

	dup2(c->saved, STDOUT_FILENO);
	close(c->saved);
	close(c->read_fd);
	return (text);
}
