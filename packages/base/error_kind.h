/*
 * err - the closed list of error kinds and the answer for each.
 *
 * A call that ends in an error has exactly one kind. The table gives the HTTP
 * status, what the caller may conclude (the X-Outcome header) and whether a
 * Retry-After header is sent.
 *
 *	const struct err_answer *a = err_answer(ERR_OVERLOADED);
 *	respond(a->status, a->name, err_outcome_name(a->outcome));
 */
#ifndef BASE_ERROR_KIND_H
#define BASE_ERROR_KIND_H

#include <glib.h>
#include <stdbool.h>

/** enum err_outcome - what is known about the execution of the request */
enum err_outcome {
	ERR_NOT_RUN, /* no upstream received it and none will */
	ERR_RAN,     /* an upstream answered it */
	ERR_UNKNOWN, /* an upstream may have received it */
};

/** enum err_kind - every way in which a call or an operator request can fail */
enum err_kind {
	ERR_NONE,
	/* The request itself. */
	ERR_BAD_REQUEST,
	ERR_UNKNOWN_HOST,
	ERR_UNKNOWN_ROUTE,
	ERR_BODY_TOO_LARGE,
	/* Refused before anything was sent. */
	ERR_NOT_FRESH,
	ERR_LEAVING,
	ERR_OVERLOADED,
	ERR_NO_UPSTREAM,
	ERR_DEADLINE,
	ERR_CONNECT,
	ERR_REFUSED,
	/* After a byte may have been sent. */
	ERR_UPSTREAM_CLOSED,
	ERR_UPSTREAM_TIMEOUT,
	ERR_UPSTREAM_ANSWER,
	ERR_CALLER_GONE,
	/* Claims of idempotency keys. */
	ERR_CLAIM_UNAVAILABLE,
	ERR_CLAIM_IN_PROGRESS,
	ERR_CLAIM_UNKNOWN,
	ERR_CLAIM_MISMATCH,
	/* Operators and the store. */
	ERR_INVALID,
	ERR_NOT_FOUND,
	ERR_CONFLICT,
	ERR_FORBIDDEN,
	ERR_STORE,
	ERR_INTERNAL,
	ERR_KIND_COUNT
};

/**
 * struct err_answer - answer to a kind
 * @name: value of the X-Error-Kind header
 * @status: HTTP status
 * @outcome: outcome for a request that carries no idempotency key
 * @retry_after_s: value of Retry-After in seconds, 0 for none
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

/** err_answer() - table row of @kind; an invalid kind gives ERR_INTERNAL's */
const struct err_answer *err_answer(enum err_kind kind);

/**
 * err_outcome() - outcome to report to the caller
 * @kind: why the call ended
 * @keyed: the request carries an idempotency key on a non-idempotent route
 * @owner_decided: the owner of the key's partition decided on its record
 *
 * An earlier attempt with the same key may have run, so a keyed request gets
 * ERR_NOT_RUN only when the owner has decided.
 */
enum err_outcome err_outcome(
    enum err_kind kind, bool keyed, bool owner_decided);

/**
 * err_status() - HTTP status to answer with
 * @promises: callers take 408, 421, 429 and 503 as a promise that the request
 *	has not run; then each kind that is certain of that gets 503 in place of
 *	502 and 504, and no other kind gets one of them
 */
unsigned err_status(
    enum err_kind kind, enum err_outcome outcome, bool promises);

/** err_outcome_name() - value of the X-Outcome header */
const char *err_outcome_name(enum err_outcome outcome);

/** err_kind_from_name() - kind with this name, ERR_INTERNAL when unknown */
enum err_kind err_kind_from_name(const char *name);

#endif
