package org.mallowroad.state;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * A key with its value and version.
 *
 * @param value null when the key does not exist
 * @param version the revision of the key's last change; 0 when the key does not exist. The event of
 *     a deletion has no value and the version of the deletion.
 */
public record VersionedValue(String key, JsonNode value, long version) {}
