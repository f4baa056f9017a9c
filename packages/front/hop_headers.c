#include "front/hop_headers.h"

static const struct bstr hop_by_hop_names[] = {
    {"Connection", 10},
    {"Keep-Alive", 10},
    {"Proxy-Authenticate", 18},
    {"Proxy-Authorization", 19},
    {"Proxy-Connection", 16},
    {"TE", 2},
    {"Trailer", 7},
    {"Transfer-Encoding", 17},
    {"Upgrade", 7},
};

bool
hop_is_token(struct bstr s)
{
	for (size_t i = 0; i < s.n; i++) {
		unsigned char ch = (unsigned char)s.p[i];

		if (ch <= ' ' || ch >= 0x7f ||
		    strchr("\"(),/:;<=>?@[\\]{}", ch) != NULL)
			return (false);
	}
	return (s.n != 0);
}

bool
hop_is_value(struct bstr s)
{
	for (size_t i = 0; i < s.n; i++) {
		unsigned char ch = (unsigned char)s.p[i];

		if ((ch < ' ' && ch != '\t') || ch == 0x7f)
			return (false);
	}
	return (true);
}

bool
hop_is_hop_by_hop(struct bstr name)
{
	for (size_t i = 0;
	     i < sizeof(hop_by_hop_names) / sizeof(*hop_by_hop_names); i++) {
		if (bstr_caseeq(hop_by_hop_names[i], name))
			return (true);
	}
	return (false);
}

bool
hop_connection_lists(struct bstr connection, struct bstr name)
{
	if (bstr_caseeq(name, BSTR("Host")) ||
	    bstr_caseeq(name, BSTR("Idempotency-Key")))
		return (false);
	while (connection.n != 0) {
		const char *comma = memchr(connection.p, ',', connection.n);
		size_t n = comma == NULL ? connection.n
					 : (size_t)(comma - connection.p);
		struct bstr item = hop_trim((struct bstr){connection.p, n});

		if (bstr_caseeq(item, name))
			return (true);
		if (comma == NULL)
			break;
		connection.p += n + 1;
		connection.n -= n + 1;
	}
	return (false);
}

struct bstr
hop_trim(struct bstr s)
{
	while (s.n > 0 && (s.p[0] == ' ' || s.p[0] == '\t')) {
		s.p++;
		s.n--;
	}
	while (s.n > 0) {
		char ch = s.p[s.n - 1];

		if (ch != ' ' && ch != '\t' && ch != '\r' && ch != '\n')
			break;
		s.n--;
	}
	return (s);
}
