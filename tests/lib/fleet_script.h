/*
 * fleet_script - runs the scripts of the golden tests on a simulated fleet.
 *
 * There is one command per line. VMs are given by number or as a range "3-7":
 *	fleet N ZONES SEED	run MS		kill VMS	start VMS
 *	freeze VMS		thaw VMS	leave VM	group VMS G
 *	store up|down		store-group G	store-cut VM	delay MS
 *	loss PERCENT		write KEY VM	states VMS	fresh
 *	age VMS			events		until-dead VM	until-alive VM
 *	until-fresh VMS		until-stale VMS
 * An "until" command prints how long it took, or "NOT after" when it times out
 * after 60 s.
 */
#ifndef TESTS_FLEET_SCRIPT_H
#define TESTS_FLEET_SCRIPT_H

#include <stdio.h>

/** fleet_script() - execute @script; implements golden_run_fn */
void fleet_script(FILE *script, FILE *out);

#endif
