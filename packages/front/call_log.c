#include "front/call_log.h"

#include "front/worker.h"
#include "front/worker_service.h"
#include "ops/log_writer.h"
#include "sys/clocks.h"

static const char *const sent_names[] = {
    [CALL_NOT_SENT] = "not-sent",
    [CALL_MAY_BE_SENT] = "sent",
};

/* Whether the rate limit allows another line; counts it or drops it. */
static bool
may_write(struct call_log *l, int64_t now_us, unsigned limit)
{
	int64_t second = now_us / 1000000;

	if (second != l->second) {
		l->second = second;
		l->lines = 0;
	}
	if (l->lines >= limit) {
		l->left_out++;
		return (false);
	}
	l->lines++;
	return (true);
}

static void
add_text(struct bbuf *b, const char *key, struct bstr value)
{
	bbuf_addf(b, ",\"%s\":", key);
	log_writer_quote(b, value);
}

static void
add_number(struct bbuf *b, const char *key, int64_t value)
{
	bbuf_addf(b, ",\"%s\":%lld", key, (long long)value);
}

/* Writes the fields that begin every line. */
static void
begin(struct bbuf *b, const struct call *c, const char *event, unsigned attempt)
{
	const char *field =
	    worker_shared_state(c->w)->protocol->request_id_field;

	bbuf_addf(b, "{\"ts_ms\":%lld,\"part\":\"call\",\"event\":\"%s\"",
	    (long long)clk_wall_ms(), event);
	if (field[0] != '\0' && c->conn != NULL)
		add_text(b, "id", call_header_in(c, field));
	if (c->service_state != NULL)
		add_text(b, "service", c->service_state->name);
	add_number(b, "attempt", attempt);
}

static void
finish(struct bbuf *b, struct call_log *l)
{
	if (l->left_out != 0)
		add_number(b, "left_out", (int64_t)l->left_out);
	l->left_out = 0;
	bbuf_add(b, BSTR("}\n"));
	log_writer_line(bbuf_str(b));
	bbuf_finish(b);
}

/* Writes the load report that the choice was based on, and its age then. */
static void
add_choice(struct bbuf *b, const struct call_attempt *a)
{
	add_text(b, "upstream", bstr_from(a->instance));
	add_number(b, "running", a->chosen.running);
	add_number(b, "waiting", a->chosen.waiting);
	add_number(b, "pace", a->chosen.pace);
	add_number(b, "report_age_us", a->chosen.age_us);
	add_number(b, "table", (int64_t)a->chosen.table_version);
}

/* Writes why admission rejected the call, and what it knew. */
static void
add_rejection(struct bbuf *b, const struct call *c, int64_t now_us)
{
	const struct admission *a = c->service_state->admission;

	add_text(b, "reason", bstr_from(adm_reason_name(c->rejected)));
	add_number(b, "asked", a->load.asked);
	add_number(b, "room", a->load.room);
	add_number(b, "room_age_us", a->load.age_us);
	add_number(b, "queued", adm_waiting(a));
	add_number(b, "work_ms", c->admission.work_us / 1000);
	add_number(b, "long_work_ms", c->admission.long_us / 1000);
	if (c->goal_us != 0)
		add_number(b, "latest_start_ms",
		    (c->start_us + c->goal_us - c->admission.work_us - now_us) /
			1000);
	add_number(b, "retry_after_ms", c->retry_after_us / 1000);
}

void
call_log_attempt(struct call_attempt *a, enum err_kind kind)
{
	struct call *c = a->call;
	struct call_log *l = worker_call_log(c->w);
	int64_t now_us = clk_mono_us();
	struct bbuf b;

	if ((kind == ERR_NONE && a->status < 500) ||
	    worker_shared_state(c->w)->protocol->request_id_field[0] == '\0' ||
	    !may_write(l, now_us, CALL_LOG_MAX_PER_S))
		return;
	bbuf_init(&b);
	begin(&b, c, "attempt-failed", a->number);
	add_choice(&b, a);
	add_text(&b, "kind", bstr_from(err_answer(kind)->name));
	add_text(&b, "sent", bstr_from(sent_names[a->sent]));
	add_number(&b, "status", a->status);
	add_number(&b, "ms", (now_us - a->start_us) / 1000);
	finish(&b, l);
}

static bool
should_log_end(struct call_log *l, const struct call *c, int64_t now_us)
{
	if (c->err != ERR_NONE || call_current(c)->status >= 500)
		return (may_write(l, now_us, CALL_LOG_MAX_PER_S));
	if (c->goal_us != 0 && now_us - c->start_us > c->goal_us)
		return (may_write(l, now_us, CALL_LOG_GOOD_PER_S));
	return (++l->good % CALL_LOG_SAMPLE == 0 &&
	    may_write(l, now_us, CALL_LOG_GOOD_PER_S));
}

void
call_log_end(struct call *c)
{
	const struct call_attempt *a = call_current(c);
	struct call_log *l = worker_call_log(c->w);
	int64_t now_us = clk_mono_us();
	struct bbuf b;

	if (worker_shared_state(c->w)->protocol->request_id_field[0] == '\0' ||
	    !should_log_end(l, c, now_us))
		return;
	bbuf_init(&b);
	begin(&b, c, "end", c->attempts);
	if (a->instance[0] != '\0')
		add_choice(&b, a);
	add_text(&b, "kind", bstr_from(err_answer(c->err)->name));
	add_number(&b, "status", a->status);
	add_number(&b, "ms", (now_us - c->start_us) / 1000);
	add_number(&b, "answer_bytes", (int64_t)a->answer_bytes);
	if (c->workspace[0] != '\0')
		add_text(&b, "workspace", bstr_from(c->workspace));
	add_number(&b, "priority", c->priority);
	if (c->ranked && c->rejected != ADM_NO_REASON)
		add_rejection(&b, c, now_us);
	if (worker_stopping(c->w))
		add_number(&b, "stopping", 1);
	if (c->deadline_us != 0)
		add_number(&b, "left_ms", (c->deadline_us - now_us) / 1000);
	finish(&b, l);
}
