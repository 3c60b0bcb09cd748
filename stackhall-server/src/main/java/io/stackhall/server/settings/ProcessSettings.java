package io.stackhall.server.settings;

/** What a process is told at its start: which of the two ways of finding others it uses. */
public sealed interface ProcessSettings permits Settings, FleetSettings {}
