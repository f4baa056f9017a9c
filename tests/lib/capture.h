/*
 * capture - what the process writes to standard output meanwhile.
 *
 *	capture_begin(&c);
 *	...
 *	text = capture_end(&c);          freed with free()
 */
#ifndef TESTS_CAPTURE_H
#define TESTS_CAPTURE_H

/**
 * struct capture - a pipe in place of standard output
 * @saved: standard output as it was
 * @read_fd: where the pipe is read
 */
struct capture {
	int saved;
	int read_fd;
};

/** capture_begin() - writes go to a pipe of the usual size from now on */
void capture_begin(struct capture *c);

/** capture_take() - what was written since then; freed with free() */
char *capture_take(const struct capture *c);

/** capture_end() - capture_take(), and standard output is as it was */
char *capture_end(struct capture *c);

#endif
