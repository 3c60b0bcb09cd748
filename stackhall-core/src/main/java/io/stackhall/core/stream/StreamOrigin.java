package io.stackhall.core.stream;

import io.stackhall.core.id.ServiceName;
import io.stackhall.core.id.SoftwareVersion;

/**
 * Where the first event of a stream came from. Events of another service, or of another version of
 * its software, do not fit behind it.
 */
public record StreamOrigin(ServiceName service, SoftwareVersion software) {}
