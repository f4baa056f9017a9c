/*
 * golden - golden file tests: runs scripts and compares their transcripts.
 *
 * A session is tests/golden/<name>/<case>.script with the expected transcript
 * in <case>.expected. When UPDATE_GOLDEN is set in the environment, the
 * expected files are overwritten with the new transcripts before they are
 * compared.
 *
 *	assert_int_equal(golden_check("claim", run_script), 0);
 */
#ifndef TESTS_GOLDEN_H
#define TESTS_GOLDEN_H

#include <stdio.h>

/** typedef golden_run_fn - run @script and write its transcript to @out */
typedef void golden_run_fn(FILE *script, FILE *out);

/**
 * golden_check() - run all sessions of a directory
 * @name: directory below tests/golden
 * @run: interpreter of the scripts
 *
 * Prints the first difference of each session that differs.
 *
 * Return: number of sessions that differ or cannot be read; a directory without
 * sessions counts as one.
 */
int golden_check(const char *name, golden_run_fn *run);

#endif
