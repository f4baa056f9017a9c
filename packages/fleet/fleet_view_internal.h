/*
 * fleet_view_internal - what the files of fleet_view share.
 */
#ifndef FLEET_FLEET_VIEW_INTERNAL_H
#define FLEET_FLEET_VIEW_INTERNAL_H

#include "fleet/fleet_view.h"

/**
 * view_version_get() - a version of a service, created on first use
 *
 * Return: valid until view_drop_unused_versions().
 */
struct view_version *view_version_get(
    struct fleet_view *f, const char *service, const char *version);

/**
 * view_drop_unused_versions() - forget the versions without upstreams whose
 * last one left more than VIEW_UNUSED_VERSION_US ago
 */
void view_drop_unused_versions(struct fleet_view *f, int64_t now_us);

/**
 * view_fill_shares() - set the shares of the versions of a service
 * @s: service with its upstreams and versions
 * @service: its name
 */
void view_fill_shares(struct fleet_view *f, struct rt_service *s,
    const char *service, int64_t now_us);

#endif
