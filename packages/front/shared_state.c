#include "front/shared_state.h"

#include <urcu.h>

const struct rt_table *
shared_table(const struct shared_state *env)
{
	return (rcu_dereference(env->table));
}

uint64_t
shared_version(const struct shared_state *env)
{
	return (atomic_load(&env->table_version));
}

void
shared_publish(struct shared_state *env, struct rt_table *t)
{
	struct rt_table *old = env->table;

	rcu_assign_pointer(env->table, t);
	atomic_fetch_add(&env->table_version, 1);
	synchronize_rcu();
	rt_table_free(old);
}
