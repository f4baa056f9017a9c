#include "lib/usage_reports.h"

#include <glib.h>
#include <pthread.h>
#include <stdio.h>
#include <string.h>

/**
 * struct usage_reports - state
 * @lock: guards the other fields
 * @accepted: number of the window -> counts
 * @holder: first holder that used @token
 */
struct usage_reports {
	pthread_mutex_t lock;
	json_t *accepted;
	int64_t token;
	char *holder;
	unsigned violations;
};

struct usage_reports *
usage_reports_new(void)
{
	struct usage_reports *u = g_new0(struct usage_reports, 1);

	pthread_mutex_init(&u->lock, NULL);
	u->accepted = json_object();
	return (u);
}

void
usage_reports_free(struct usage_reports *u)
{
	json_decref(u->accepted);
	g_free(u->holder);
	g_free(u);
}

static void
note_token(struct usage_reports *u, const char *holder, int64_t token)
{
	if (token == u->token) {
		u->violations += strcmp(u->holder, holder) != 0;
		return;
	}
	u->token = token;
	g_free(u->holder);
	u->holder = g_strdup(holder);
}

static unsigned
receive(struct usage_reports *u, const char *holder, int64_t token,
    const json_t *body)
{
	const json_t *window = json_object_get(body, "window");
	json_t *counts = json_object_get(body, "counts");
	const json_t *earlier;
	char key[32];

	if (holder == NULL || token <= 0 || !json_is_integer(window) ||
	    !json_is_object(counts))
		return (400);
	if (token < u->token)
		return (409);
	note_token(u, holder, token);
	snprintf(
	    key, sizeof(key), "%lld", (long long)json_integer_value(window));
	earlier = json_object_get(u->accepted, key);
	if (earlier == NULL)
		json_object_set_new(u->accepted, key, json_deep_copy(counts));
	else
		u->violations += !json_equal(earlier, counts);
	return (200);
}

unsigned
usage_reports_receive(struct usage_reports *u, const char *holder,
    int64_t token, const json_t *body)
{
	unsigned status;

	pthread_mutex_lock(&u->lock);
	status = receive(u, holder, token, body);
	pthread_mutex_unlock(&u->lock);
	return (status);
}

json_t *
usage_reports_accepted(struct usage_reports *u)
{
	json_t *accepted;

	pthread_mutex_lock(&u->lock);
	accepted = json_deep_copy(u->accepted);
	pthread_mutex_unlock(&u->lock);
	return (accepted);
}

unsigned
usage_reports_violations(struct usage_reports *u)
{
	unsigned n;

	pthread_mutex_lock(&u->lock);
	n = u->violations;
	pthread_mutex_unlock(&u->lock);
	return (n);
}

int64_t
usage_reports_token(struct usage_reports *u)
{
	int64_t token;

	pthread_mutex_lock(&u->lock);
	token = u->token;
	pthread_mutex_unlock(&u->lock);
	return (token);
}

json_t *
usage_reports_json(struct usage_reports *u)
{
	return (
	    json_pack("{s:o,s:I,s:I}", "accepted", usage_reports_accepted(u),
		"violations", (json_int_t)usage_reports_violations(u), "token",
		(json_int_t)usage_reports_token(u)));
}
