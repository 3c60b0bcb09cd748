/** The settings of one process: read from a JSON file, with everything wrong found in one pass. */
package io.stackhall.server.settings;
