/*
 * admin_port - admin port of a stand-in (prefix admin_).
 *
 * Serves JSON over HTTP on loopback. All requests run on one thread, which
 * admin_start() creates.
 *
 *	static unsigned
 *	serve(void *arg, const char *method, const char *url,
 *	    struct bstr body, json_t **out);
 *
 *	uint16_t port = 0;
 *	admin_start(&port, serve, arg);
 */
#ifndef LIB_ADMIN_PORT_H
#define LIB_ADMIN_PORT_H

#include <jansson.h>
#include <stdint.h>

#include "base/byte_string.h"

/**
 * typedef admin_fn - handle one request
 * @arg: as given to admin_start()
 * @body: request body, empty when there is none
 * @out: response body, owned by the server afterwards; NULL sends {}
 *
 * Return: HTTP status.
 */
typedef unsigned (*admin_fn)(void *arg, const char *method, const char *url,
    struct bstr body, json_t **out);

/**
 * admin_start() - serve until the process ends
 * @port: port to listen on, 0 for a free one; set to the actual port
 * @fn: handler of all requests; it runs on the thread of the server
 * @arg: passed to @fn
 *
 * Return: 0, or -1 when the server cannot listen on the port.
 */
int admin_start(uint16_t *port, admin_fn fn, void *arg);

#endif
