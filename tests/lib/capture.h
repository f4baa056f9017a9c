/*
 * capture - captures what the process writes to standard output.
 *
 * The output has to fit into the pipe (64 KiB on Linux): writes to a full pipe
 * block. stdio output has to be flushed before it is taken.
 *
 *	struct capture c;
 *	capture_begin(&c);
 *	write(STDOUT_FILENO, "hello\n", 6);
 *	char *text = capture_end(&c);
 *	free(text);
 */
#ifndef TESTS_CAPTURE_H
#define TESTS_CAPTURE_H

/**
 * struct capture - a pipe in place of standard output
 * @saved: duplicate of the original standard output
 * @read_fd: read end of the pipe, non-blocking
 */
struct capture {
	int saved;
	int read_fd;
};

/** capture_begin() - redirect standard output to a pipe of the default size */
void capture_begin(struct capture *c);

/**
 * capture_take() - text written since the capture began or the last call
 *
 * Return: the text, freed by the caller with free().
 */
char *capture_take(const struct capture *c);

/**
 * capture_end() - restore standard output
 *
 * Return: as capture_take().
 */
char *capture_end(struct capture *c);

#endif
