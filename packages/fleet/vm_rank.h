/*
 * vm_rank - order in which the VMs of a fleet take a duty (prefix vm_rank).
 *
 * A VM with a duty sends datagrams to all others, so the order depends on
 * bandwidth first and then on a hash. Different duties have different seeds, so
 * that they do not all fall to the same VM.
 */
#ifndef FLEET_VM_RANK_H
#define FLEET_VM_RANK_H

#include <stdint.h>

/**
 * vm_rank() - rank of a VM, lower ranks come first
 * @link_mbps: bandwidth of the VM, 0 when not known
 * @seed: number of the duty
 */
uint64_t vm_rank(const char *vm, uint32_t link_mbps, uint64_t seed);

#endif
