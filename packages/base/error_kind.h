/*
 * error_kind - all error kinds and the response to each (prefix err_).
 *
 * A call that ends in an error has exactly one kind. For each kind, a table
 * holds the HTTP status, the execution outcome reported in the X-Outcome header
 * and the value of the Retry-After header.
 *
 *	const struct err_answer *a = err_answer(ERR_OVERLOADED);
 *	respond(a->status, a->name, err_outcome_name(a->outcome));
 */
#ifndef BASE_ERROR_KIND_H
#define BASE_ERROR_KIND_H

#include <glib.h>
#include <stdbool.h>

/** enum err_outcome - whether the request was executed */
enum err_outcome {
	ERR_NOT_RUN, /* no upstream has executed it or will execute it */
	ERR_RAN,     /* an upstream responded to it */
	ERR_UNKNOWN, /* an upstream may have executed it */
};

/** enum err_kind - reason why a call or an operator request failed */
enum err_kind {
	ERR_NONE,
	/* The request is invalid. */
	ERR_BAD_REQUEST,
	ERR_UNKNOWN_HOST,
	ERR_UNKNOWN_ROUTE,
	ERR_UNAUTHORIZED, /* no valid key of a workspace */
	ERR_BODY_TOO_LARGE,
	ERR_HEAD_TOO_LARGE,
	/* No upstream executed the request. */
	ERR_NOT_FRESH, /* the data of this VM is stale */
	ERR_LEAVING,   /* this VM is shutting down */
	ERR_OVERLOADED,
	ERR_NO_UPSTREAM,
	ERR_DEADLINE,
	ERR_CONNECT,
	ERR_REFUSED, /* the upstream reported the request as not run */
	/* The attempt ended after bytes may have been sent upstream. */
	ERR_UPSTREAM_CLOSED,
	ERR_UPSTREAM_TIMEOUT,
	ERR_UPSTREAM_ANSWER,
	ERR_CALLER_GONE,
	/* The claim of the idempotency key failed. */
	ERR_CLAIM_UNAVAILABLE, /* the key's owner made no decision */
	ERR_CLAIM_IN_PROGRESS, /* another attempt holds the key */
	ERR_CLAIM_UNKNOWN,     /* an earlier attempt may have run */
	ERR_CLAIM_MISMATCH,    /* the key belongs to a different request */
	/* An operator request, the store or the process itself failed. */
	ERR_INVALID,
	ERR_NOT_FOUND,
	ERR_CONFLICT,
	ERR_FORBIDDEN,
	ERR_STORE,
	ERR_INTERNAL,
	ERR_KIND_COUNT
};

/**
 * struct err_answer - response to an error kind
 * @name: value of the X-Error-Kind header
 * @status: HTTP status
 * @outcome: outcome for a request that carries no idempotency key
 * @retry_after_s: value of Retry-After in seconds, 0 for no header
 */
struct err_answer {
	const char *name;
	unsigned status;
	enum err_outcome outcome;
	unsigned retry_after_s;
};

/** ERR_QUARK - GError domain; the code is an enum err_kind */
#define ERR_QUARK err_quark()
GQuark err_quark(void);

/** err_answer() - response to @kind, or to ERR_INTERNAL if @kind is invalid */
const struct err_answer *err_answer(enum err_kind kind);

/**
 * err_outcome() - outcome to report to the caller
 * @kind: why the call ended
 * @keyed: the request carries an idempotency key on a non-idempotent route
 * @owner_decided: the owner of the key's partition looked up the key's record
 *	and decided on the request
 *
 * An earlier attempt with the same key may have run, so a keyed request gets
 * ERR_NOT_RUN only after the owner's decision.
 */
enum err_outcome err_outcome(
    enum err_kind kind, bool keyed, bool owner_decided);

/**
 * err_status() - HTTP status of the error response
 * @kind: why the call ended
 * @outcome: outcome to report to the caller
 * @status_means_not_run: callers interpret 408, 421, 429 and 503 as "not run"
 *
 * With @status_means_not_run, ERR_NOT_RUN turns 502 and 504 into 503, and any
 * other outcome turns 408, 421, 429 and 503 into 502.
 */
unsigned err_status(
    enum err_kind kind, enum err_outcome outcome, bool status_means_not_run);

/** err_outcome_name() - value of the X-Outcome header */
const char *err_outcome_name(enum err_outcome outcome);

/** err_kind_from_name() - kind named @name, ERR_INTERNAL when unknown */
enum err_kind err_kind_from_name(const char *name);

#endif
