/**
 * Leader election among the controllers, based on a leased key in the state service and a term that
 * increases with each election ({@link org.mallowroad.election.LeaderElection} has the proof).
 */
package org.mallowroad.election;
