/**
 * Leader election among the controllers: a leased key in the state service, and a term that rises
 * with each election ({@link org.mallowroad.election.LeaderElection} has the proof).
 */
package org.mallowroad.election;
