/*
 * fleet_script - interpreter of golden sessions over a fleet.
 *
 * One command a line; VMs are numbers, a range is "3-7":
 *	fleet N ZONES SEED	run MS		kill VMS	start VMS
 *	freeze VMS		thaw VMS	leave VM	group VMS G
 *	store up|down		store-group G	store-cut VM	delay MS
 *	loss PERCENT		write KEY VM	states VMS	fresh
 *	age VMS			events		until-dead VM	until-alive VM
 *	until-fresh VMS		until-stale VMS
 * An "until" command prints how long it took, or fails after 60 s.
 */
#ifndef TESTS_FLEET_SCRIPT_H
#define TESTS_FLEET_SCRIPT_H

#include <stdio.h>

/** fleet_script() - a golden_run_fn */
void fleet_script(FILE *script, FILE *out);

#endif
