#include "front/upstream_protocol.h"

static void
read_own(const struct response_head *head, const struct proto_expect *expect,
    struct proto_report *out)
{
	struct bstr load = response_head_find(head, BSTR("X-Load"));
	uint64_t v;

	(void)expect;
	*out = (struct proto_report){
	    .running = -1, .terms = {.limit_milli_per_s = TERMS_NO_LIMIT}};
	if (bstr_to_u64(load, &v) && v <= INT32_MAX)
		out->running = (int32_t)v;
	out->not_run = head->status >= 400 &&
	    bstr_eq(response_head_find(head, BSTR("X-Not-Run")), BSTR("1"));
}

static const struct proto_ops own_ops = {read_own};

static const struct upstream_protocol own = {
    .ops = &own_ops,
    .timeout_field = "X-Timeout-Ms",
    .deadline_field = "X-Deadline-Ms",
    .instance_field = "",
    .request_id_field = "",
    .workspace_field = "",
};

const struct upstream_protocol *
proto_own(void)
{
	return (&own);
}
