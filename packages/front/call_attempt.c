#include "front/call_attempt.h"

void
call_attempt_init(struct call_attempt *a, struct call *c, bool close_ends_body)
{
	*a = (struct call_attempt){.call = c, .opened_fd = -1, .reported = -1};
	response_head_init(&a->head, false);
	a->head.close_ends_body = close_ends_body;
}

void
call_attempt_reset(struct call_attempt *a, bool head_request)
{
	a->sent = CALL_NOT_SENT;
	a->usage_window = -1;
	a->blocked = ERR_NONE;
	a->resend_blocked = false;
	a->unclean = false;
	a->sent_on_reused_conn = false;
	a->opened_fd = -1;
	a->body_off = 0;
	a->body_paused = false;
	a->upstream_ended = false;
	a->head_us = 0;
	a->reported = -1;
	a->refused = false;
	a->failed = false;
	a->retry_taken = false;
	response_head_reset(&a->head, head_request);
	a->head_bad = false;
	a->status = 0;
	bbuf_clear(&a->answer);
	a->answer_off = 0;
	a->answer_paused = false;
	a->answer_complete = false;
	a->answer_bytes = 0;
	a->answer_bytes_when_late = 0;
	bbuf_clear(&a->kept);
	a->kept_omitted = false;
}

void
call_attempt_finish(struct call_attempt *a)
{
	response_head_finish(&a->head);
	bbuf_finish(&a->answer);
	bbuf_finish(&a->kept);
	if (a->upstream != NULL)
		rt_stat_unref(a->upstream);
	if (a->tally != NULL)
		rt_tally_unref(a->tally);
}

bool
call_attempt_runs(const struct call_attempt *a)
{
	return (a->easy != NULL);
}

struct bstr
call_attempt_answer_left(const struct call_attempt *a)
{
	if (a->answer.n == a->answer_off)
		return ((struct bstr){0});
	return ((struct bstr){
	    a->answer.p + a->answer_off, a->answer.n - a->answer_off});
}
