/**
 * Components shared by entry and control hosts, which discover each other through seeds: discovery,
 * message codecs and reports of work.
 */
package io.stackhall.server.fleet;
