#include "front/env.h"

#include <urcu.h>

const struct rt_table *
env_table(const struct env *env)
{
	return (rcu_dereference(env->table));
}

uint64_t
env_version(const struct env *env)
{
	return (atomic_load(&env->table_version));
}

void
env_publish(struct env *env, struct rt_table *t)
{
	struct rt_table *old = env->table;

	rcu_assign_pointer(env->table, t);
	atomic_fetch_add(&env->table_version, 1);
	synchronize_rcu();
	rt_table_free(old);
}
