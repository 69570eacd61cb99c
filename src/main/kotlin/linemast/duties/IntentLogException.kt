package linemast.duties

import linemast.cloud.CloudException

/** This controller is no longer the leader; the next leader decides about the action that failed with this exception. */
class LeadershipLostException(fencingToken: Long) : CloudException.NotPermitted("the term with fencing token $fencingToken has ended")

/** All slots hold open intents; no action can begin until one of the intents is closed. */
class IntentLogFullException : CloudException.NotPermitted("all slots hold open intents")
