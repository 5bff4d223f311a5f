/** Reads and validates the platform's settings (TOML) and the operators' own settings (XML). */
package org.mallowroad.config;
