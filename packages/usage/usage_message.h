/*
 * usage_message - messages about usage between the VMs.
 *
 * Their codec is peer/usage_datagram.h; who sends them when is decided by
 * usage_duty.h.
 *
 *	struct usage_status_msg m = {.token = 12};
 */
#ifndef USAGE_USAGE_MESSAGE_H
#define USAGE_USAGE_MESSAGE_H

#include <stdbool.h>
#include <stdint.h>

/* Longest name of a VM or a workspace in bytes. */
#define USAGE_NAME_MAX 127
/* Counts in one message, which keeps it below the usual packet size. */
#define USAGE_MSG_MAX_COUNTS 24

/** struct usage_msg_count - count of one workspace in one window */
struct usage_msg_count {
	int64_t window;
	char workspace[USAGE_NAME_MAX + 1];
	uint32_t count;
};

/**
 * struct usage_counts_msg - counts of one VM, to a collector
 * @vm: sending VM
 * @boot: number of its process; the counts are of this process alone
 * @time_ms: Unix time by the sender's own clock, without its jumps and without
 *	corrections by other VMs, so that the samples are independent
 * @full: the sender is sending all counts of windows that are not reported
 * @n: number of @counts
 * @counts: each is the total of the process so far, so that a lost or repeated
 *	message does no harm
 */
struct usage_counts_msg {
	char vm[USAGE_NAME_MAX + 1];
	uint64_t boot;
	int64_t time_ms;
	bool full;
	uint32_t n;
	struct usage_msg_count counts[USAGE_MSG_MAX_COUNTS];
};

/**
 * struct usage_status_msg - status of the holder, or of a VM that is about to
 * take over, to all VMs
 * @vm: sending VM
 * @token: its fencing token, 0 before it holds the duty
 * @reported_through: last window whose report was accepted
 * @fixed_through: last window whose figures are fixed in the record, as the
 *	sender knows it
 * @time_ms: Unix time as the sender estimates it
 * @n_samples: VMs whose clocks @time_ms is based on
 */
struct usage_status_msg {
	char vm[USAGE_NAME_MAX + 1];
	int64_t token;
	int64_t reported_through;
	int64_t fixed_through;
	int64_t time_ms;
	uint32_t n_samples;
};

#endif
