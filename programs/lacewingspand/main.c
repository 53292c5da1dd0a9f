#include <stdlib.h>

#include "daemon.h"
#include "platform.h"
#include "settings.h"

/**
 * DOC: The daemon: one instance of the fleet, on its own or, where the
 * platform names its settings file, through the adapter.
 */

int main(int argc, char **argv)
{
	const char *platform_file = getenv(PLATFORM_SETTINGS_VARIABLE);
	struct settings settings;

	if (platform_file)
		return platform_run(platform_file);
	settings_parse(&settings, argc, argv);
	return daemon_run(&settings, NULL);
}
