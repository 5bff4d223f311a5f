package org.mallowroad.state;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * A key of the state service with its value and version.
 *
 * @param value null when the key does not exist
 * @param version the revision of the key's last change; 0 when the key does not exist. A deletion
 *     event has a null value, and the revision of the deletion as its version.
 */
public record VersionedValue(String key, JsonNode value, long version) {}
