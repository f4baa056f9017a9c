#include "front/upp.h"

static void
read_own(const struct rhd *head, const struct upp_expect *expect,
    struct upp_report *out)
{
	struct bstr load = rhd_find(head, BSTR("X-Load"));
	uint64_t v;

	(void)expect;
	*out = (struct upp_report){.running = -1};
	if (bstr_to_u64(load, &v) && v <= INT32_MAX)
		out->running = (int32_t)v;
	out->not_run = head->status >= 400 &&
	    bstr_eq(rhd_find(head, BSTR("X-Not-Run")), BSTR("1"));
}

static const struct upp_ops own_ops = {read_own};

static const struct upp own = {
    .ops = &own_ops,
    .timeout_field = "X-Timeout-Ms",
    .deadline_field = "X-Deadline-Ms",
    .instance_field = "",
    .request_id_field = "",
};

const struct upp *
upp_own(void)
{
	return (&own);
}
