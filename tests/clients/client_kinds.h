#pragma once

#include "clients/client_bed.h"

namespace wasabiwall::clients {

/// Clients of most crowds: under the gateway's limit of connections, so that
/// what they make it hold is what counts.
inline constexpr int kCrowdSize = 480;
/// Clients of a crowd that sends or asks for much each.
inline constexpr int kSmallCrowdSize = 60;

/// Each of these adds one kind of client to a crowd.
void AddBodiesInOnePiece(Crowd* crowd, Target target, int count);
void AddBodiesInSmallPieces(Crowd* crowd, Target target, int count);
void AddBodiesInChunks(Crowd* crowd, Target target, int count);
void AddOversizedBodies(Crowd* crowd, Target target, int count);
/// Half of them stop within the head, half within the body after it.
void AddManyFields(Crowd* crowd, Target target, int count);
/// Whole requests whose Connection field names thousands of fields.
void AddNamedFields(Crowd* crowd, Target target, int count);
void AddPipelining(Crowd* crowd, Target target, int count);
void AddSlowSenders(Crowd* crowd, Target target, int count);
void AddSlowReaders(Crowd* crowd, Target target, int count);
/// Half of them send nothing, half stop within the head.
void AddIdle(Crowd* crowd, Target target, int count);

}  // namespace wasabiwall::clients
