/*
 * credential - the key in the Authorization field of a request (prefix cred_).
 *
 * The accepted form is "Bearer KEY". The scheme is not case-sensitive. Blanks
 * and tabs around the key are ignored. The key is compared byte by byte.
 *
 *	if (cred_parse(value, &key))
 *		w = wstab_find(table, key);
 */
#ifndef WORKSPACE_CREDENTIAL_H
#define WORKSPACE_CREDENTIAL_H

#include <stdbool.h>

#include "base/byte_string.h"

/* Longest key in bytes. The bound limits the work for a hostile request. */
#define CRED_KEY_MAX 1024

/**
 * cred_parse() - find the key in the value of an Authorization field
 * @value: value of the field
 * @key: set to the key, a part of @value; unchanged on failure
 *
 * Return: false for another scheme, or when the key is empty, is longer than
 * CRED_KEY_MAX or contains a byte that is not visible ASCII.
 */
bool cred_parse(struct bstr value, struct bstr *key);

#endif
