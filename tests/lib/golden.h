/*
 * golden - runs session scripts and compares each transcript with its file.
 *
 * A session is tests/golden/<name>/<case>.script with the expected transcript
 * in <case>.expected. With UPDATE_GOLDEN=1 in the environment the expected
 * files are written instead.
 */
#ifndef TESTS_GOLDEN_H
#define TESTS_GOLDEN_H

#include <stdio.h>

/** golden_run_fn - run @script line by line and write the transcript to @out */
typedef void golden_run_fn(FILE *script, FILE *out);

/**
 * golden_check() - run all sessions of a folder
 * @name: folder below tests/golden
 * @run: interpreter of the scripts
 *
 * Return: number of sessions that differ or could not be read; a folder without
 * a session counts as one.
 */
int golden_check(const char *name, golden_run_fn *run);

#endif
