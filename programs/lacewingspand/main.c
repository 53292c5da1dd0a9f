#include <stdlib.h>

#include "daemon.h"
#include "platform.h"
#include "settings.h"

/**
 * DOC: The daemon: one instance of the fleet. If the environment names a
 * settings file of the platform, it runs with the platform's adapter. Otherwise
 * it takes its settings from flags and environment variables.
 */

int main(int argc, char **argv)
{
	const char *platform_file = getenv(PLATFORM_SETTINGS_ENV);
	struct settings settings;

	if (platform_file)
		return platform_run(platform_file);
	settings_parse(&settings, argc, argv);
	return daemon_run(&settings, NULL);
}
