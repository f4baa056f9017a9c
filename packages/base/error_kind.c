#include "base/error_kind.h"

#include <string.h>

static const struct err_answer answers[ERR_KIND_COUNT] = {
    [ERR_NONE] = {"none", 200, ERR_RAN, 0},
    [ERR_BAD_REQUEST] = {"bad-request", 400, ERR_NOT_RUN, 0},
    [ERR_UNKNOWN_HOST] = {"unknown-host", 404, ERR_NOT_RUN, 0},
    [ERR_UNKNOWN_ROUTE] = {"unknown-route", 404, ERR_NOT_RUN, 0},
    [ERR_UNAUTHORIZED] = {"unauthorized", 401, ERR_NOT_RUN, 0},
    [ERR_BODY_TOO_LARGE] = {"body-too-large", 413, ERR_NOT_RUN, 0},
    [ERR_HEAD_TOO_LARGE] = {"head-too-large", 431, ERR_NOT_RUN, 0},
    [ERR_NOT_FRESH] = {"not-fresh", 503, ERR_NOT_RUN, 1},
    [ERR_LEAVING] = {"leaving", 503, ERR_NOT_RUN, 1},
    [ERR_OVERLOADED] = {"overloaded", 503, ERR_NOT_RUN, 1},
    [ERR_NO_UPSTREAM] = {"no-upstream", 503, ERR_NOT_RUN, 1},
    [ERR_DEADLINE] = {"deadline", 504, ERR_NOT_RUN, 0},
    [ERR_CONNECT] = {"connect", 502, ERR_NOT_RUN, 1},
    [ERR_REFUSED] = {"refused", 503, ERR_NOT_RUN, 1},
    [ERR_UPSTREAM_CLOSED] = {"upstream-closed", 502, ERR_UNKNOWN, 0},
    [ERR_UPSTREAM_TIMEOUT] = {"upstream-timeout", 504, ERR_UNKNOWN, 0},
    [ERR_UPSTREAM_ANSWER] = {"upstream-answer", 502, ERR_UNKNOWN, 0},
    [ERR_CALLER_GONE] = {"caller-gone", 499, ERR_UNKNOWN, 0},
    [ERR_CLAIM_UNAVAILABLE] = {"claim-unavailable", 503, ERR_UNKNOWN, 1},
    [ERR_CLAIM_IN_PROGRESS] = {"claim-in-progress", 409, ERR_UNKNOWN, 1},
    [ERR_CLAIM_UNKNOWN] = {"claim-unknown", 409, ERR_UNKNOWN, 0},
    [ERR_CLAIM_MISMATCH] = {"claim-mismatch", 422, ERR_NOT_RUN, 0},
    [ERR_INVALID] = {"invalid", 422, ERR_NOT_RUN, 0},
    [ERR_NOT_FOUND] = {"not-found", 404, ERR_NOT_RUN, 0},
    [ERR_CONFLICT] = {"conflict", 409, ERR_NOT_RUN, 0},
    [ERR_FORBIDDEN] = {"forbidden", 403, ERR_NOT_RUN, 0},
    [ERR_STORE] = {"store", 503, ERR_UNKNOWN, 1},
    [ERR_INTERNAL] = {"internal", 500, ERR_UNKNOWN, 0},
};

GQuark
err_quark(void)
{
	return (g_quark_from_static_string("camphorhollow"));
}

const struct err_answer *
err_answer(enum err_kind kind)
{
	if (kind < 0 || kind >= ERR_KIND_COUNT)
		kind = ERR_INTERNAL;
	return (&answers[kind]);
}

enum err_outcome
err_outcome(enum err_kind kind, bool keyed, bool owner_decided)
{
	enum err_outcome o = err_answer(kind)->outcome;

	if (o == ERR_NOT_RUN && keyed && !owner_decided)
		return (ERR_UNKNOWN);
	return (o);
}

unsigned
err_status(
    enum err_kind kind, enum err_outcome outcome, bool status_means_not_run)
{
	unsigned status = err_answer(kind)->status;

	if (!status_means_not_run)
		return (status);
	if (outcome == ERR_NOT_RUN)
		return (status == 502 || status == 504 ? 503 : status);
	if (status == 408 || status == 421 || status == 429 || status == 503)
		return (502);
	return (status);
}

const char *
err_outcome_name(enum err_outcome outcome)
{
	switch (outcome) {
	case ERR_NOT_RUN:
		return ("not-run");
	case ERR_RAN:
		return ("ran");
	case ERR_UNKNOWN:
		break;
	}
	return ("unknown");
}

enum err_kind
err_kind_from_name(const char *name)
{
	for (int k = 0; k < ERR_KIND_COUNT; k++) {
		if (strcmp(answers[k].name, name) == 0)
			return ((enum err_kind)k);
	}
	return (ERR_INTERNAL);
}
