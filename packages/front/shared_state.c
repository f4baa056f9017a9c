#include "front/shared_state.h"

#include <urcu.h>

const struct rt_table *
shared_table(const struct shared_state *shared)
{
	return (rcu_dereference(shared->table));
}

uint64_t
shared_version(const struct shared_state *shared)
{
	return (atomic_load(&shared->table_version));
}

void
shared_publish(struct shared_state *shared, struct rt_table *t)
{
	struct rt_table *old = shared->table;

	rcu_assign_pointer(shared->table, t);
	atomic_fetch_add(&shared->table_version, 1);
	synchronize_rcu();
	rt_table_free(old);
}
