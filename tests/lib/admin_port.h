/*
 * adm - admin port of a stand-in: JSON over HTTP on loopback, one thread.
 *
 *	static unsigned
 *	serve(void *arg, const char *method, const char *url,
 *	    struct bstr body, json_t **out);
 *	admin_start(&port, serve, arg);
 */
#ifndef LIB_ADMIN_PORT_H
#define LIB_ADMIN_PORT_H

#include <jansson.h>
#include <stdint.h>

#include "base/byte_string.h"

/**
 * typedef admin_fn - answer one request
 * @body: request body, empty when there is none
 * @out: answer, owned by the server afterwards; NULL sends {}
 *
 * Return: HTTP status.
 */
typedef unsigned (*admin_fn)(void *arg, const char *method, const char *url,
    struct bstr body, json_t **out);

/**
 * admin_start() - serve until the process ends
 * @port: port to use, 0 for a free one; receives the port
 *
 * Return: 0, or -1 when the port cannot be used.
 */
int admin_start(uint16_t *port, admin_fn fn, void *arg);

#endif
