/** Tests of replicas on threads of their own. */
package io.stackhall.server.group;
