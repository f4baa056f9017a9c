/*
 * usage_reports - receiver of usage reports as the platform describes it:
 * fencing by token, and a record of what was accepted.
 *
 * The functions may be called from several threads.
 *
 *	struct usage_reports *u = usage_reports_new();
 *	status = usage_reports_receive(u, "vm1", 12, body);
 *	json_t *accepted = usage_reports_accepted(u);
 *	usage_reports_free(u);
 */
#ifndef TESTS_USAGE_REPORTS_H
#define TESTS_USAGE_REPORTS_H

#include <jansson.h>
#include <stdint.h>

struct usage_reports;

/** usage_reports_new() - a receiver without reports */
struct usage_reports *usage_reports_new(void);

/** usage_reports_free() - free */
void usage_reports_free(struct usage_reports *u);

/**
 * usage_reports_receive() - execute a report
 *
 * Return: HTTP status: 200, 400 or 409.
 */
unsigned usage_reports_receive(struct usage_reports *u, const char *holder,
    int64_t token, const json_t *body);

/**
 * usage_reports_accepted() - accepted reports as an object from the number of
 * the window to its counts; new reference
 */
json_t *usage_reports_accepted(struct usage_reports *u);

/**
 * usage_reports_violations() - number of accepted reports whose counts differ
 * from an earlier one of the window, and of tokens that two holders used
 */
unsigned usage_reports_violations(struct usage_reports *u);

/** usage_reports_token() - highest token so far, 0 for none */
int64_t usage_reports_token(struct usage_reports *u);

/**
 * usage_reports_json() - {"accepted", "violations", "token"}, from the
 * functions above; new reference
 */
json_t *usage_reports_json(struct usage_reports *u);

#endif
