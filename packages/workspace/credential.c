#include "workspace/credential.h"

static bool
is_blank(char ch)
{
	return (ch == ' ' || ch == '\t');
}

static struct bstr
trim(struct bstr s)
{
	while (s.n != 0 && is_blank(s.p[0])) {
		s.p++;
		s.n--;
	}
	while (s.n != 0 && is_blank(s.p[s.n - 1]))
		s.n--;
	return (s);
}

static bool
is_key(struct bstr s)
{
	if (s.n == 0 || s.n > CRED_KEY_MAX)
		return (false);
	for (size_t i = 0; i < s.n; i++) {
		if (s.p[i] <= ' ' || s.p[i] > '~')
			return (false);
	}
	return (true);
}

bool
cred_parse(struct bstr value, struct bstr *key)
{
	const struct bstr scheme = BSTR("Bearer");
	struct bstr s = trim(value);

	if (s.n <= scheme.n || !is_blank(s.p[scheme.n]) ||
	    !bstr_caseeq((struct bstr){s.p, scheme.n}, scheme))
		return (false);
	s = trim((struct bstr){s.p + scheme.n, s.n - scheme.n});
	if (!is_key(s))
		return (false);
	*key = s;
	return (true);
}
