#ifndef LWS_VERSION_H
#define LWS_VERSION_H

/** LWS_VERSION - version of this release */
#define LWS_VERSION "0.1.0"

#endif
