#include "daemon.h"
#include "settings.h"

/**
 * DOC: The daemon: one instance of the fleet.
 */

int main(int argc, char **argv)
{
	struct settings settings;

	settings_parse(&settings, argc, argv);
	return daemon_run(&settings);
}
